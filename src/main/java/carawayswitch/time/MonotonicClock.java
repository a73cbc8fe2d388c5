package carawayswitch.time;

import java.util.concurrent.TimeUnit;

/**
 * Clock of this process that never goes back. Safe for use by several threads.
 */
public final class MonotonicClock {

	private static final long START = System.nanoTime();

	private MonotonicClock() {
	}

	/**
	 * Returns the time since the start of this process.
	 * @return time in milliseconds
	 */
	public static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
	}

}
