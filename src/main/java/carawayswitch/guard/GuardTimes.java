package carawayswitch.guard;

/**
 * Timeouts and other durations of the key guard, all in milliseconds. Immutable.
 *
 * @param leaseMillis duration of the lease that a guardian grants to an owner
 * @param leaseMarginMillis safety margin that a successor waits after a lease has expired
 * @param unreachableAfterMillis silence after which a host treats a peer as unreachable
 * @param maxClockSkewMillis maximum difference between the wall clocks of callers and
 * hosts
 * @param dedupeWindowMillis age up to which the grants of keys are retained; older keys
 * are rejected
 */
public record GuardTimes(long leaseMillis, long leaseMarginMillis, long unreachableAfterMillis, long maxClockSkewMillis,
		long dedupeWindowMillis) {

	private static final int ASSIGNMENTS_PER_AUTHORITY_EXPIRY = 4;

	/**
	 * Returns the minimum interval between two assignments. It ensures that the retained
	 * assignments span more time than the longest acquisition of a slot.
	 * @return the time in milliseconds
	 */
	public long minAssignmentIntervalMillis() {
		return authorityExpiryMillis() / ASSIGNMENTS_PER_AUTHORITY_EXPIRY;
	}

	/**
	 * Returns the time after which the authority of a silent former holder has certainly
	 * expired.
	 * @return the time in milliseconds
	 */
	long authorityExpiryMillis() {
		return this.unreachableAfterMillis + this.leaseMillis + 2 * this.leaseMarginMillis;
	}

}
