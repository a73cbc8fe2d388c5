package carawayswitch.gateway;

import carawayswitch.time.MonotonicClock;

/**
 * Clocks of this process. Deciding functions get their values as arguments. Safe for use
 * by several threads.
 */
final class Clocks {

	private Clocks() {
	}

	static long steadyMillis() {
		return MonotonicClock.millis();
	}

	static long wallMillis() {
		return System.currentTimeMillis();
	}

}
