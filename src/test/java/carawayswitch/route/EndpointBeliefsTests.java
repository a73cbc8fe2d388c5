package carawayswitch.route;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what is believed of endpoints, in quiet times and around outages of the store.
 */
class EndpointBeliefsTests {

	private final EndpointBeliefs beliefs = new EndpointBeliefs();

	private static Optional<EndpointEntry> entry(String id, boolean leaving) {
		return Optional.of(new EndpointEntry(id, "engine", InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 8,
				leaving, 1));
	}

	@BeforeEach
	void twoEndpoints() {
		this.beliefs.update(Map.of("e1", entry("e1", false), "e2", entry("e2", false)), true, 0, 0);
	}

	@Test
	void removalTakesEffectAtOnceInQuietTimes() {
		this.beliefs.update(Map.of("e1", Optional.empty()), false, 0, 1000);
		assertThat(this.beliefs.table().working("engine")).extracting(EndpointEntry::id).containsExactly("e2");
	}

	@Test
	void leavingEndpointGetsNoWorkAtOnceEvenAfterAnOutage() {
		this.beliefs.update(Map.of("e1", entry("e1", true)), false, 5000, 1000);
		assertThat(this.beliefs.table().workingById("e1")).isNull();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void entriesThatLapsedInAnOutageAreKeptUntilTheyCouldBeBack(boolean whole) {
		Map<String, Optional<EndpointEntry>> read = whole ? Map.of("e2", entry("e2", false))
				: Map.of("e1", Optional.empty());
		this.beliefs.update(read, whole, 5000, 1000);
		assertThat(this.beliefs.table().workingById("e1")).isNotNull();
		this.beliefs.settle(1000 + EndpointBeliefs.RETURN_MILLIS);
		assertThat(this.beliefs.table().workingById("e1")).isNull();
		assertThat(this.beliefs.table().workingById("e2")).isNotNull();
	}

	@Test
	void endpointThatRegistersAgainAfterAnOutageStays() {
		this.beliefs.update(Map.of("e1", Optional.empty()), false, 5000, 1000);
		this.beliefs.update(Map.of("e1", entry("e1", false)), false, 0, 2000);
		this.beliefs.settle(10_000);
		assertThat(this.beliefs.table().workingById("e1")).isNotNull();
	}

}
