package carawayswitch.route;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that takes stale cached state for current. The monotonic clock
 * stops while the host is suspended, and the wall clock may jump in either direction.
 */
class ConfirmationTests {

	private final Confirmation confirmed = new Confirmation(10_000, 1_000_000);

	@ParameterizedTest
	@CsvSource({ "1200, 1200, 1200", "1200, 3600, 3600", "10, 3510, 3510", "3500, 3400, 3500" })
	void ageIsTheLargerOfBothElapsedTimes(long monotonicElapsed, long wallElapsed, long age) {
		assertThat(this.confirmed.ageMillis(10_000 + monotonicElapsed, 1_000_000 + wallElapsed)).isEqualTo(age);
	}

	@ParameterizedTest
	@CsvSource({ "100, -2300", "5000, 3000", "600, 50" })
	void wallClockThatStepsBackInvalidatesTheConfirmation(long monotonicElapsed, long wallElapsed) {
		assertThat(this.confirmed.ageMillis(10_000 + monotonicElapsed, 1_000_000 + wallElapsed))
			.isEqualTo(Confirmation.UNKNOWN_AGE_MILLIS);
	}

	@Test
	void missingConfirmationHasUnknownAge() {
		assertThat(Confirmation.NONE.ageMillis(0, 0)).isEqualTo(Confirmation.UNKNOWN_AGE_MILLIS);
	}

	@Test
	void confirmationWithLaterMonotonicTimeIsNewer() {
		Confirmation later = new Confirmation(11_000, 990_000);
		assertThat(this.confirmed.newer(later)).isEqualTo(later);
		assertThat(later.newer(this.confirmed)).isEqualTo(later);
	}

}
