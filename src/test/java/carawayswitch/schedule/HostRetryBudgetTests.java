package carawayswitch.schedule;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the retry budget that all hosts share is kept without communication between
 * the hosts. Guards against hosts that exceed the budget together although each of them
 * keeps to its own part.
 */
class HostRetryBudgetTests {

	@ParameterizedTest
	@CsvSource({ "7, 54, 20", "6, 52, 0", "85, 210, 3", "1, 20, 100" })
	void retriesOfAllHostsStayWithinTheBudget(int hosts, double sharedRetries, int requestsPerHost) {
		int retries = 0;
		for (int host = 0; host < hosts; host++) {
			HostRetryBudget budget = new HostRetryBudget(0.2, sharedRetries, 10_000);
			for (int i = 0; i < requestsPerHost; i++) {
				budget.onRequest(i);
			}
			while (budget.tryRetry(hosts, 200)) {
				retries++;
			}
		}
		assertThat(retries).isLessThanOrEqualTo((int) (0.2 * hosts * requestsPerHost + sharedRetries));
	}

	@Test
	void retriesBecomeAvailableAgainAfterTheWindow() {
		HostRetryBudget budget = new HostRetryBudget(0.2, 20, 10_000);
		while (budget.tryRetry(2, 0)) {
			// Uses up the budget.
		}
		assertThat(budget.tryRetry(2, 9_999)).isFalse();
		assertThat(budget.tryRetry(2, 10_000)).isTrue();
	}

}
