package carawayswitch.gateway;

import carawayswitch.route.Confirmation;
import carawayswitch.time.MonotonicClock;

/**
 * Clocks of this process. Deciding functions get their values as arguments. Safe for use
 * by several threads.
 */
final class Clocks {

	private Clocks() {
	}

	static long monotonicMillis() {
		return MonotonicClock.millis();
	}

	/**
	 * Reads both clocks.
	 * @return a confirmation as of now
	 */
	static Confirmation now() {
		return new Confirmation(monotonicMillis(), wallMillis());
	}

	static long wallMillis() {
		return System.currentTimeMillis();
	}

}
