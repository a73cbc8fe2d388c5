package carawayswitch.guard;

/**
 * Lengths of time of the key guard, all in milliseconds. Immutable.
 *
 * @param lease length of the lease that a guardian grants to an owner
 * @param margin extra time that a successor waits after a lease
 * @param isolation silence after which a host takes its peers as unreachable
 * @param skew largest difference between clocks
 * @param window age up to which keys are remembered
 */
public record GuardTimes(long lease, long margin, long isolation, long skew, long window) {

	private static final int ASSIGNMENTS_PER_SILENCE = 4;

	/**
	 * Returns the least time between two assignments, so that the kept assignments reach
	 * back further than any acquisition lasts.
	 * @return the time in milliseconds
	 */
	public long pace() {
		return silence() / ASSIGNMENTS_PER_SILENCE;
	}

	/**
	 * Returns the time after which a silent former holder surely has no authority.
	 * @return the time in milliseconds
	 */
	long silence() {
		return this.isolation + this.lease + 2 * this.margin;
	}

}
