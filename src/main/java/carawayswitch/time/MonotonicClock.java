package carawayswitch.time;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic clock of this process; it never goes back. Safe for use by several threads.
 */
public final class MonotonicClock {

	private static final long START = System.nanoTime();

	private MonotonicClock() {
	}

	/**
	 * Returns the time elapsed since the clock was initialised.
	 * @return elapsed time in milliseconds
	 */
	public static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
	}

}
