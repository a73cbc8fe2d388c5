package carawayswitch.schedule;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that budgets which all hosts share hold without a word between them.
 */
class SharedBudgetTests {

	@ParameterizedTest
	@CsvSource({ "7, 54, 20", "6, 52, 0", "85, 210, 3", "1, 20, 100" })
	void retriesOfAllHostsStayWithinTheBudget(int hosts, double extra, int requestsPerHost) {
		int retries = 0;
		for (int host = 0; host < hosts; host++) {
			RetryShare share = new RetryShare(0.2, extra, 10_000);
			for (int i = 0; i < requestsPerHost; i++) {
				share.request(i);
			}
			while (share.tryRetry(hosts, 200)) {
				retries++;
			}
		}
		assertThat(retries).isLessThanOrEqualTo((int) (0.2 * hosts * requestsPerHost + extra));
	}

	@Test
	void shareIsEarnedAnewInEachWindow() {
		RetryShare share = new RetryShare(0.2, 20, 10_000);
		while (share.tryRetry(2, 0)) {
			// Spends the share.
		}
		assertThat(share.tryRetry(2, 9_999)).isFalse();
		assertThat(share.tryRetry(2, 10_000)).isTrue();
	}

	@Test
	void capHandsOutItsRateAndBurst() {
		TokenCap cap = new TokenCap(1000, 2000, 2000, 0);
		int taken = 0;
		for (long now = 0; now <= 8000; now += 10) {
			while (cap.take(100, now) == 0) {
				taken += 100;
			}
		}
		assertThat(taken).isBetween(9_900, 10_000);
	}

	@Test
	void refusalNamesTheTimeAtWhichTheUnitsAreThere() {
		TokenCap cap = new TokenCap(1000, 2000, 0, 0);
		long wait = cap.take(500, 0);
		assertThat(cap.take(500, wait - 2)).isPositive();
		assertThat(cap.take(500, wait)).isZero();
	}

	@Test
	void requestLargerThanTheBucketPassesWhenItIsFullAndIsPaidOff() {
		TokenCap cap = new TokenCap(1000, 2000, 2000, 0);
		assertThat(cap.take(5000, 0)).isZero();
		assertThat(cap.take(1, 2900)).isPositive();
		assertThat(cap.take(1, 3100)).isZero();
	}

	@Test
	void loweredCapBindsAtOnce() {
		TokenCap cap = new TokenCap(1000, 2000, 2000, 0);
		cap.change(10, 20, 0);
		assertThat(cap.take(20, 0)).isZero();
		assertThat(cap.take(20, 1000)).isPositive();
	}

}
