package carawayswitch;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Polls in tests for conditions that other threads or processes bring about. Stateless.
 */
public final class Await {

	private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private Await() {
	}

	/**
	 * Polls every 5 ms until a condition holds.
	 * @param timeout maximum time to wait
	 * @param condition the condition; the calling test fails if it does not hold within
	 * the timeout
	 */
	public static void until(Duration timeout, BooleanSupplier condition) {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("the condition holds within " + timeout).isLessThan(deadline);
			LockSupport.parkNanos(POLL_NANOS);
		}
	}

}
