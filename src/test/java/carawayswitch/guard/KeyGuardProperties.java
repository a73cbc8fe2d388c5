package carawayswitch.guard;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no schedule of faults lets two requests receive a grant for the same key,
 * which would dispatch a request with an idempotency key twice. This could happen if two
 * hosts hold authority over the key at once, or if a new owner does not know an earlier
 * grant. The system property {@code property.tries} scales the number of random
 * schedules.
 */
class KeyGuardProperties {

	private static final int SCHEDULES = Integer.getInteger("property.tries", 100);

	private static final long SEED = 20_261_204;

	private static final long DURATION_MILLIS = 40_000;

	private static final long WARM_UP_MILLIS = 6_000;

	@ParameterizedTest
	@EnumSource
	void keyIsGrantedToOneRequestUnderEachFault(FaultRates.Kind kind) {
		assertOneGrantPerKey(new FaultRates(List.of(kind), 12, 20, 20, 10), SCHEDULES / 2);
	}

	@Test
	void keyIsGrantedToOneRequestUnderAllFaultsTogether() {
		assertOneGrantPerKey(new FaultRates(List.of(FaultRates.Kind.values()), 6, 30, 20, 20), SCHEDULES * 2);
	}

	@Test
	void mostKeysAreGrantedWithoutFaults() {
		GuardCluster cluster = new GuardCluster(SEED, 4, new FaultRates(List.of(), 0, 0, 0, 0));
		cluster.run(WARM_UP_MILLIS);
		cluster.grantedBy.clear();
		cluster.verdicts.clear();
		cluster.run(DURATION_MILLIS);
		int unknown = cluster.verdicts.getOrDefault(GrantVerdict.UNKNOWN.name(), 0);
		assertThat(cluster.grantedBy.size()).isGreaterThan(50);
		assertThat(unknown).isZero();
	}

	private static void assertOneGrantPerKey(FaultRates faults, int schedules) {
		SplittableRandom random = new SplittableRandom(SEED);
		long[] scheduleSeeds = random.longs(schedules).toArray();
		int granted = IntStream.range(0, schedules)
			.parallel()
			.map((i) -> runSchedule(scheduleSeeds[i], 3 + i % 4, faults))
			.sum();
		assertThat(granted / schedules).as("keys granted per schedule").isGreaterThan(10);
	}

	private static int runSchedule(long seed, int size, FaultRates faults) {
		GuardCluster cluster = new GuardCluster(seed, size, faults);
		cluster.run(DURATION_MILLIS);
		for (Map.Entry<String, Set<String>> grants : cluster.grantedBy.entrySet()) {
			assertThat(grants.getValue())
				.as("requests that were granted %s, seed %d, %d hosts", grants.getKey(), seed, size)
				.hasSize(1);
		}
		return cluster.grantedBy.size();
	}

}
