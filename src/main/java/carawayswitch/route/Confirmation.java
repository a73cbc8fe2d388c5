package carawayswitch.route;

/**
 * Age of what a host believes, measured from the sending of the newest read that
 * confirmed it. The steady clock may stand still while a host is suspended, and the time
 * of day may jump: the age is the larger of both, and a time of day that has gone back
 * voids the confirmation. Immutable.
 *
 * @param steadyMillis steady time of the confirmation in milliseconds
 * @param wallMillis time of day of the confirmation in milliseconds since the epoch
 */
public record Confirmation(long steadyMillis, long wallMillis) {

	/** No confirmation. */
	public static final Confirmation NONE = new Confirmation(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

	/** Age of what was never confirmed, in milliseconds. */
	public static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 8;

	/**
	 * Difference between the clocks in milliseconds that is taken for a step back and not
	 * for drift.
	 */
	static final long MAX_CLOCK_DRIFT_MILLIS = 500;

	/**
	 * Returns the age.
	 * @param steadyNow steady time in milliseconds
	 * @param wallNow time of day in milliseconds since the epoch
	 * @return the age in milliseconds
	 */
	public long ageMillis(long steadyNow, long wallNow) {
		if (this.equals(NONE) || wallClockSteppedBack(steadyNow, wallNow)) {
			return UNKNOWN_AGE_MILLIS;
		}
		return Math.max(steadyNow - this.steadyMillis, wallNow - this.wallMillis);
	}

	private boolean wallClockSteppedBack(long steadyNow, long wallNow) {
		return (steadyNow - this.steadyMillis) - (wallNow - this.wallMillis) > MAX_CLOCK_DRIFT_MILLIS;
	}

	/**
	 * Returns the age for people.
	 * @param steadyNow steady time in milliseconds
	 * @param wallNow time of day in milliseconds since the epoch
	 * @return the age in milliseconds, or -1 if it is not known
	 */
	public long reportedAgeMillis(long steadyNow, long wallNow) {
		long age = ageMillis(steadyNow, wallNow);
		return (age != UNKNOWN_AGE_MILLIS) ? age : -1;
	}

	/**
	 * Returns the confirmation by a read that was some time older.
	 * @param millis the time in milliseconds
	 * @return the older confirmation
	 */
	public Confirmation minus(long millis) {
		return new Confirmation(this.steadyMillis - millis, this.wallMillis - millis);
	}

	/**
	 * Returns the newer of two confirmations.
	 * @param other another confirmation
	 * @return the one with the larger steady time
	 */
	public Confirmation newer(Confirmation other) {
		return (other.steadyMillis > this.steadyMillis) ? other : this;
	}

}
