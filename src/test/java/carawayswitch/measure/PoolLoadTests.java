package carawayswitch.measure;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the pool's scheduler under patterns of load, beside a baseline that sends each
 * request at once to the engine with the fewest. The bounds are those that users state.
 */
class PoolLoadTests {

	/** A kind may be served this much less often than a less urgent one. */
	private static final double SERVED_TOLERANCE = 0.05;

	/** A kind may earn this much less of its worth than a less urgent one. */
	private static final double WORTH_TOLERANCE = 0.15;

	/** No kind is served less than this share as often as all requests. */
	private static final double STARVED_SHARE = 0.25;

	static Stream<Arguments> patterns() {
		return PoolLoad.ALL.stream()
			.flatMap((load) -> Stream.of(1L, 2L, 3L).map((seed) -> Arguments.of(load.name(), load, seed)));
	}

	private static double worthShare(List<PoolResult> results) {
		return results.stream().mapToDouble(PoolResult::servedValue).sum()
				/ results.stream().mapToDouble(PoolResult::offeredValue).sum();
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void servesMoreThanTheBaseline(String name, PoolLoad load, long seed) {
		assertThat(worthShare(PoolSimulation.simulate(load, false, seed)))
			.isGreaterThanOrEqualTo(worthShare(PoolSimulation.simulate(load, true, seed)));
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void urgentKindsAreServedNoLessThanOthers(String name, PoolLoad load, long seed) {
		List<PoolResult> results = PoolSimulation.simulate(load, false, seed);
		for (int i = 0; i + 1 < results.size(); i++) {
			assertThat(results.get(i).servedShare())
				.isGreaterThanOrEqualTo(results.get(i + 1).servedShare() - SERVED_TOLERANCE);
			assertThat(results.get(i).servedValueShare())
				.isGreaterThanOrEqualTo(results.get(i + 1).servedValueShare() - WORTH_TOLERANCE);
		}
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void noKindStarves(String name, PoolLoad load, long seed) {
		List<PoolResult> results = PoolSimulation.simulate(load, false, seed);
		double all = results.stream().mapToDouble((each) -> each.servedShare() * each.offeredCount()).sum()
				/ results.stream().mapToDouble(PoolResult::offeredCount).sum();
		assertThat(results).allSatisfy((each) -> assertThat(each.servedShare()).isGreaterThan(all * STARVED_SHARE));
	}

	@ParameterizedTest(name = "{0}, seed {2}")
	@MethodSource("patterns")
	void sameSeedGivesTheSameResult(String name, PoolLoad load, long seed) {
		assertThat(PoolSimulation.simulate(load, false, seed).toString())
			.isEqualTo(PoolSimulation.simulate(load, false, seed).toString());
	}

}
