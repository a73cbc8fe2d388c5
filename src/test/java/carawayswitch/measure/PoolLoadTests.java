package carawayswitch.measure;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import carawayswitch.KnownRed;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the scheduler of a pool under load patterns. Guards against a scheduler that
 * earns less value than a baseline, serves urgent kinds less than others or starves a
 * kind. The baseline dispatches each request at once to the engine with the fewest
 * outstanding requests. The bounds are those stated by users.
 */
class PoolLoadTests {

	/**
	 * Maximum by which the served share may be below that of the next less urgent kind.
	 */
	private static final double SERVED_TOLERANCE = 0.05;

	/**
	 * Maximum by which the value share may be below that of the next less urgent kind.
	 */
	private static final double VALUE_TOLERANCE = 0.15;

	/**
	 * Minimum served share of the large requests of a kind as a fraction of the kind's.
	 */
	private static final double MIN_LARGE_SHARE = 0.5;

	/** Minimum served share of each kind as a fraction of that of all requests. */
	private static final double STARVATION_SHARE = 0.25;

	static Stream<Arguments> patterns() {
		return PoolLoad.ALL.stream()
			.flatMap((load) -> Stream.of(1L, 2L, 3L).map((seed) -> Arguments.of(load.name(), load, seed)));
	}

	private static double servedValueShare(List<PoolResult> results) {
		return results.stream().mapToDouble(PoolResult::servedValue).sum()
				/ results.stream().mapToDouble(PoolResult::offeredValue).sum();
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void servesAtLeastTheValueOfTheBaseline(String name, PoolLoad load, long seed) {
		assertThat(servedValueShare(PoolSimulation.simulate(load, false, seed)))
			.isGreaterThanOrEqualTo(servedValueShare(PoolSimulation.simulate(load, true, seed)));
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void urgentKindsAreServedNoLessThanLessUrgentKinds(String name, PoolLoad load, long seed) {
		List<PoolResult> results = PoolSimulation.simulate(load, false, seed);
		for (int i = 0; i + 1 < results.size(); i++) {
			assertThat(results.get(i).servedShare())
				.isGreaterThanOrEqualTo(results.get(i + 1).servedShare() - SERVED_TOLERANCE);
			assertThat(results.get(i).servedValueShare())
				.isGreaterThanOrEqualTo(results.get(i + 1).servedValueShare() - VALUE_TOLERANCE);
		}
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void largeRequestsAreServedAtLeastHalfAsOftenAsTheirKind(String name, PoolLoad load, long seed) {
		List<String> violations = PoolSimulation.simulate(load, false, seed)
			.stream()
			.filter((result) -> result.largeServedShare() < result.servedShare() * MIN_LARGE_SHARE)
			.map((result) -> "large served " + result.largeServedShare() + " of " + result)
			.toList();
		KnownRed.assertNoViolations("PoolLoadTests large requests, " + name + ", seed " + seed, violations);
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void noKindStarves(String name, PoolLoad load, long seed) {
		List<PoolResult> results = PoolSimulation.simulate(load, false, seed);
		double overallShare = results.stream()
			.mapToDouble((result) -> result.servedShare() * result.offeredCount())
			.sum() / results.stream().mapToDouble(PoolResult::offeredCount).sum();
		assertThat(results)
			.allSatisfy((result) -> assertThat(result.servedShare()).isGreaterThan(overallShare * STARVATION_SHARE));
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void sameSeedGivesTheSameResults(String name, PoolLoad load, long seed) {
		assertThat(PoolSimulation.simulate(load, false, seed).toString())
			.isEqualTo(PoolSimulation.simulate(load, false, seed).toString());
	}

}
