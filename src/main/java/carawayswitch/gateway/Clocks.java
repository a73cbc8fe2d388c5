package carawayswitch.gateway;

import carawayswitch.route.Confirmation;
import carawayswitch.time.MonotonicClock;

/**
 * The monotonic clock and the wall clock of this process. Decision logic takes clock
 * values as arguments instead of reading them here. Thread-safe.
 */
final class Clocks {

	private Clocks() {
	}

	static long monotonicMillis() {
		return MonotonicClock.millis();
	}

	/**
	 * Reads both clocks for the time stamp of a read or a request.
	 * @return a confirmation as of now
	 */
	static Confirmation now() {
		return new Confirmation(monotonicMillis(), wallMillis());
	}

	static long wallMillis() {
		return System.currentTimeMillis();
	}

}
