package carawayswitch.route;

/**
 * Time at which cached state was last confirmed as current: the time at which the newest
 * successful read was sent. The monotonic clock may stop while a host is suspended, and
 * the wall clock may jump. The age is therefore the larger of the two differences, and a
 * wall clock that steps back invalidates the confirmation. Immutable.
 *
 * @param monotonicMillis time on the monotonic clock in milliseconds
 * @param wallMillis time on the wall clock in milliseconds since the epoch
 */
public record Confirmation(long monotonicMillis, long wallMillis) {

	/** State that was never confirmed. */
	public static final Confirmation NONE = new Confirmation(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

	/** Age in milliseconds of state without a valid confirmation. */
	public static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 8;

	/**
	 * Largest difference between the clocks in milliseconds that counts as drift. Beyond
	 * it, the wall clock has stepped back.
	 */
	static final long MAX_CLOCK_DRIFT_MILLIS = 500;

	/**
	 * Returns the time since the confirmation.
	 * @param monotonicNowMillis current monotonic time in milliseconds
	 * @param wallNowMillis current wall-clock time in milliseconds since the epoch
	 * @return the age in milliseconds, or {@link #UNKNOWN_AGE_MILLIS} without a valid
	 * confirmation
	 */
	public long ageMillis(long monotonicNowMillis, long wallNowMillis) {
		if (this.equals(NONE) || wallClockSteppedBack(monotonicNowMillis, wallNowMillis)) {
			return UNKNOWN_AGE_MILLIS;
		}
		return Math.max(monotonicNowMillis - this.monotonicMillis, wallNowMillis - this.wallMillis);
	}

	private boolean wallClockSteppedBack(long monotonicNowMillis, long wallNowMillis) {
		return (monotonicNowMillis - this.monotonicMillis) - (wallNowMillis - this.wallMillis) > MAX_CLOCK_DRIFT_MILLIS;
	}

	/**
	 * Returns the age as it is reported to operators.
	 * @param monotonicNowMillis current monotonic time in milliseconds
	 * @param wallNowMillis current wall-clock time in milliseconds since the epoch
	 * @return the age in milliseconds, or -1 if it is unknown
	 */
	public long reportedAgeMillis(long monotonicNowMillis, long wallNowMillis) {
		long age = ageMillis(monotonicNowMillis, wallNowMillis);
		return (age != UNKNOWN_AGE_MILLIS) ? age : -1;
	}

	/**
	 * Returns a confirmation that is earlier on both clocks.
	 * @param millis the difference in milliseconds
	 * @return the earlier confirmation
	 */
	public Confirmation minus(long millis) {
		return new Confirmation(this.monotonicMillis - millis, this.wallMillis - millis);
	}

	/**
	 * Returns the newer of two confirmations.
	 * @param other another confirmation
	 * @return the one with the larger monotonic time
	 */
	public Confirmation newer(Confirmation other) {
		return (other.monotonicMillis > this.monotonicMillis) ? other : this;
	}

}
