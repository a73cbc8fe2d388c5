package carawayswitch.measure;

import java.util.List;

import org.junit.jupiter.api.Test;

/**
 * Tests of the pool's scheduler under patterns of load.
 */
class PoolLoadTests {

	@Test
	void print() {
		for (PoolLoad load : PoolLoad.ALL) {
			double earned = 0;
			double owed = 0;
			double[] shares = new double[3];
			double[] twice = new double[3];
			double[] held = new double[3];
			int seeds = 12;
			for (long seed = 1; seed <= seeds; seed++) {
				List<PoolResult> results = PoolSimulation.play(load, false, seed);
				for (int i = 0; i < 3; i++) {
					earned += results.get(i).earnedWorth();
					owed += results.get(i).owedWorth();
					shares[i] += results.get(i).worthShare() / seeds;
					twice[i] += results.get(i).refusedTwiceShare() / seeds;
					held[i] += results.get(i).heldMillis() / seeds;
				}
			}
			System.out.printf("%-20s worth %.3f kinds %.3f %.3f %.3f twice %.3f %.3f %.3f held %.0f %.0f %.0f%n",
					load.name(), earned / owed, shares[0], shares[1], shares[2], twice[0], twice[1], twice[2], held[0],
					held[1], held[2]);
		}
	}

}
