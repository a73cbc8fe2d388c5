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
 * Tests that no schedule of faults makes two requests receive a grant for one key. The
 * number of schedules is set by the property {@code property.tries}.
 */
class KeyGuardProperties {

	private static final int TRIES = Integer.getInteger("property.tries", 100);

	private static final long SEED = 20_261_204;

	private static final long DURATION = 40_000;

	private static final long WARM_UP = 6_000;

	@ParameterizedTest
	@EnumSource
	void keyIsGrantedToOneRequestUnderEachFault(Faults.Kind kind) {
		assertOneGrantPerKey(new Faults(List.of(kind), 12, 20, 20, 10), TRIES / 2);
	}

	@Test
	void keyIsGrantedToOneRequestUnderAllFaultsTogether() {
		assertOneGrantPerKey(new Faults(List.of(Faults.Kind.values()), 6, 30, 20, 20), TRIES * 2);
	}

	@Test
	void mostKeysAreGrantedWithoutFaults() {
		GuardCluster cluster = new GuardCluster(SEED, 4, new Faults(List.of(), 0, 0, 0, 0));
		cluster.run(WARM_UP);
		cluster.grantedBy.clear();
		cluster.verdicts.clear();
		cluster.run(DURATION);
		int unknown = cluster.verdicts.getOrDefault(GrantVerdict.UNKNOWN.name(), 0);
		assertThat(cluster.grantedBy.size()).isGreaterThan(50);
		assertThat(unknown).isZero();
	}

	private static void assertOneGrantPerKey(Faults faults, int tries) {
		SplittableRandom seeds = new SplittableRandom(SEED);
		long[] seedOfTry = seeds.longs(tries).toArray();
		int granted = IntStream.range(0, tries)
			.parallel()
			.map((i) -> runSchedule(seedOfTry[i], 3 + i % 4, faults))
			.sum();
		assertThat(granted / tries).as("keys granted per schedule").isGreaterThan(10);
	}

	private static int runSchedule(long seed, int size, Faults faults) {
		GuardCluster cluster = new GuardCluster(seed, size, faults);
		cluster.run(DURATION);
		for (Map.Entry<String, Set<String>> key : cluster.grantedBy.entrySet()) {
			assertThat(key.getValue()).as("requests that were granted %s, seed %d, %d hosts", key.getKey(), seed, size)
				.hasSize(1);
		}
		return cluster.grantedBy.size();
	}

}
