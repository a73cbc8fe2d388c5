package carawayswitch.route;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import carawayswitch.http.RequestLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that go to a wrong route or service: a shorter prefix, another
 * host, a prefix that ends within a path segment, or a weight that is not respected.
 */
class RouteTableTests {

	private static Route route(String name, String host, String prefix, Route.WeightedService... services) {
		return new Route(name, host, prefix, List.of(services), RequestKind.IDEMPOTENT, 1000, 100, 2, 0, false, false,
				0);
	}

	private final RouteTable table = new RouteTable(7,
			List.of(route("root", "a.example", "/"), route("short", "a.example", "/x/"),
					route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")),
			List.of(), Map.of(), false, RequestLimits.DEFAULT);

	@ParameterizedTest
	@CsvSource({ "a.example, /x/y/z, long", "a.example, /x/y/, long", "a.example, /x/y, short",
			"A.Example:8080, /x/1, short", "a.example, /xx/1, root", "a.example, /, root", "b.example, /x/2, other" })
	void longestMatchingPrefixOfTheHostIsChosen(String host, String path, String name) {
		assertThat(this.table.match(host, path)).map(Route::name).contains(name);
	}

	@ParameterizedTest
	@CsvSource({ "b.example, /", "b.example, /x", "c.example, /x/", "'', /x/" })
	void unknownHostOrPathMatchesNoRoute(String host, String path) {
		assertThat(this.table.match(host, path)).isEmpty();
	}

	@Test
	void missingHostHeaderMatchesNoRoute() {
		assertThat(this.table.match(null, "/x/")).isEmpty();
	}

	@Test
	void servicesAreChosenInProportionToTheirWeights() {
		Route split = route("split", "a", "/", new Route.WeightedService("s1", 90),
				new Route.WeightedService("s2", 10));
		int secondChosen = 0;
		for (int hash = -500; hash < 500; hash++) {
			secondChosen += split.chooseService(hash).equals("s2") ? 1 : 0;
		}
		assertThat(secondChosen).isEqualTo(100);
	}

}
