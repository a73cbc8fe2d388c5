package carawayswitch;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Waits in tests for what other threads or processes bring about. Stateless.
 */
public final class Await {

	private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private Await() {
	}

	/**
	 * Waits until a condition holds, and fails if it does not in time.
	 * @param timeout the longest wait
	 * @param condition the condition
	 */
	public static void until(Duration timeout, BooleanSupplier condition) {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("the condition holds within " + timeout).isLessThan(deadline);
			LockSupport.parkNanos(POLL_NANOS);
		}
	}

}
