package carawayswitch.guard;

/**
 * Lengths of time of the key guard, all in milliseconds. Immutable.
 *
 * @param leaseMillis length of the lease that a guardian grants to an owner
 * @param leaseMarginMillis extra time that a successor waits after a lease
 * @param unreachableAfterMillis silence after which a host takes its peers as unreachable
 * @param maxClockSkewMillis largest difference between clocks
 * @param dedupeWindowMillis age up to which keys are remembered
 */
public record GuardTimes(long leaseMillis, long leaseMarginMillis, long unreachableAfterMillis, long maxClockSkewMillis,
		long dedupeWindowMillis) {

	private static final int ASSIGNMENTS_PER_AUTHORITY_EXPIRY = 4;

	/**
	 * Returns the least time between two assignments, so that the kept assignments reach
	 * back further than any acquisition lasts.
	 * @return the time in milliseconds
	 */
	public long minAssignmentIntervalMillis() {
		return authorityExpiryMillis() / ASSIGNMENTS_PER_AUTHORITY_EXPIRY;
	}

	/**
	 * Returns the time after which a silent former holder surely has no authority.
	 * @return the time in milliseconds
	 */
	long authorityExpiryMillis() {
		return this.unreachableAfterMillis + this.leaseMillis + 2 * this.leaseMarginMillis;
	}

}
