package carawayswitch.rollout;

/**
 * Steps in which the share of the target grows. The first steps keep to the exposure
 * bound however long they last; the others use the exposure that the first ones have left
 * and are therefore short. Immutable.
 */
enum RolloutStep {

	/** Finds faults that appear at once. */
	FIRST(0.2, 0.15, true),

	/** Collects evidence of all routes. */
	BROAD(0.5, 0.25, true),

	/** Waits for late faults. */
	LATE(0.6, 0.5, true),

	/** Finds faults under load before all requests depend on the target. */
	LOAD(2, 0.1, false),

	/** All new requests go to the target. */
	FULL(Double.POSITIVE_INFINITY, 0, false);

	private final double exposureFactor;

	private final double timeShare;

	private final boolean bounded;

	RolloutStep(double exposureFactor, double timeShare, boolean bounded) {
		this.exposureFactor = exposureFactor;
		this.timeShare = timeShare;
		this.bounded = bounded;
	}

	/**
	 * Returns the share of new requests that the target gets.
	 * @param exposureShare largest share that a bad version may get
	 * @return share from 0 to 1
	 */
	double share(double exposureShare) {
		return (this == FULL) ? 1 : Math.min(0.5, exposureShare * this.exposureFactor);
	}

	/**
	 * Returns the part of the time before {@link #FULL} that this step takes.
	 * @return the part, from 0 to 1
	 */
	double timeShare() {
		return this.timeShare;
	}

	/**
	 * Returns whether the share alone keeps the exposure bound.
	 * @return true if the step may last for any time
	 */
	boolean bounded() {
		return this.bounded;
	}

	RolloutStep next() {
		return values()[Math.min(ordinal() + 1, values().length - 1)];
	}

	static RolloutStep of(int number) {
		return values()[Math.max(0, Math.min(number, values().length - 1))];
	}

}
