package carawayswitch.soak;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the soak sees each kind of broken promise, and no other.
 */
class PromisesTests {

	private final Promises promises = new Promises();

	private void asked(boolean repeatable) {
		this.promises.asked("a1", repeatable, "key", "host-0", 1000);
	}

	@ParameterizedTest
	@CsvSource({ "false, 2, 1", "false, 1, 0", "true, 2, 0" })
	void requestThatMayRunOnceIsReportedWhenItRanTwice(boolean repeatable, int runs, int broken) {
		asked(repeatable);
		assertThat(this.promises.broken(List.of("a1", "a1").subList(0, runs))).hasSize(broken);
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void answerThatPromisesNotRunIsReportedIfItRan(int status) {
		asked(false);
		this.promises.answered("a1", status, "", null, "", "");
		assertThat(this.promises.broken(List.of())).isEmpty();
		assertThat(this.promises.broken(List.of("a1"))).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource({ "a1, seal-a1, body, 0", "a2, seal-a1, body, 1", "a1, seal-a2, body, 1", "a1, , body, 1",
			"a1, seal-a1, bo, 1" })
	void successThatIsNotTheWholeAnswerOfTheRequestIsReported(String echoed, String seal, String body, int broken) {
		asked(false);
		this.promises.answered("a1", 200, echoed, seal, body, "body");
		assertThat(this.promises.broken(List.of("a1"))).hasSize(broken);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "-2001, 1" })
	void runWithAKeyThatWasRemovedBeforeIsReported(long revokedAt, int broken) {
		asked(false);
		this.promises.revoked("key", revokedAt);
		assertThat(this.promises.broken(List.of("a1"))).hasSize(broken);
	}

	@ParameterizedTest
	@CsvSource({ "1500, 9000, 9500, 1", "1500, 1600, 1800, 0", "900, 9000, 9500, 0", "7000, 9000, 9500, 0" })
	void requestThatAPlannedStopCutsIsReportedUnlessAFaultExcusesIt(long stoppedAt, long faultFrom, long faultUntil,
			int broken) {
		asked(false);
		this.promises.stopped("host-0", stoppedAt);
		this.promises.fault(faultFrom, faultUntil);
		this.promises.failed("a1", 2000);
		assertThat(this.promises.broken(List.of("a1"))).hasSize(broken);
	}

	@Test
	void runThatNoClientAskedForIsReported() {
		assertThat(this.promises.broken(List.of("a9"))).hasSize(1);
	}

}
