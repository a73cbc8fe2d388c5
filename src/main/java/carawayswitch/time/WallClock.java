package carawayswitch.time;

/**
 * Time of day, for what hosts and endpoints tell each other. It may be changed at any
 * time: durations on one machine are measured with {@link MonotonicClock}. Stateless and
 * safe for use by several threads.
 */
public final class WallClock {

	private WallClock() {
	}

	/**
	 * Returns the time of day.
	 * @return time in milliseconds since the epoch
	 */
	public static long millis() {
		return System.currentTimeMillis();
	}

}
