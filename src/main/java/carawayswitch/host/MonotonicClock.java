package carawayswitch.host;

import java.util.concurrent.TimeUnit;

/**
 * Clock of this process that never goes back. Safe for use by several threads.
 */
final class MonotonicClock {

	private static final long START = System.nanoTime();

	private MonotonicClock() {
	}

	static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
	}

}
