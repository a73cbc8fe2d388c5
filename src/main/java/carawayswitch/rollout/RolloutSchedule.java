package carawayswitch.rollout;

/**
 * Times of a rollout, all since its order. The target gets all new requests after about
 * half of the time limit, so that late faults are seen before, and the streams of the
 * other versions can run out within two thirds of it. Immutable. Times are milliseconds.
 *
 * @param limit time limit of the rollout
 * @param fullAt time at which the target gets all new requests
 * @param latestFullAt the same for a target that was seen late or too little
 * @param decideBy time by which a rollout that has not come that far is rolled back, and
 * by which the end of one that waits for streams of other versions is stored
 */
record RolloutSchedule(long limit, long fullAt, long latestFullAt, long decideBy) {

	private static final double FULL_SHARE = 0.52;

	private static final double COMPLETE_SHARE = 0.64;

	private static final double DOUBT_SHARE = 0.7;

	private static final double DECIDE_SHARE = 0.94;

	/** Largest part of the limit that is kept for the streams of other versions. */
	private static final double MAX_RUN_OUT_SHARE = 0.25;

	/**
	 * Smallest factor by which the steps of a target that was seen late are shortened.
	 */
	private static final double MIN_SCALE = 0.2;

	/** Longest time for which a silent host is taken for running requests. */
	private static final long MAX_SILENCE_MILLIS = 15_000;

	private static final int MAX_SILENCE_PARTS = 6;

	/**
	 * Creates the schedule of a rollout.
	 * @param limit time limit
	 * @param longestStream longest time for which a stream of the service may run
	 * @return the schedule
	 */
	static RolloutSchedule of(long limit, long longestStream) {
		double runOut = Math.min(longestStream, limit * MAX_RUN_OUT_SHARE);
		double fullAt = Math.min(limit * FULL_SHARE, limit * COMPLETE_SHARE - runOut);
		double decideBy = limit * DECIDE_SHARE;
		return new RolloutSchedule(limit, (long) fullAt, (long) (fullAt + (decideBy - runOut - fullAt) / 3),
				(long) decideBy);
	}

	/**
	 * Returns for how long a silent host is taken for running requests.
	 * @param limit time limit of the rollout
	 * @return the duration
	 */
	static long silentMillis(long limit) {
		return Math.min(MAX_SILENCE_MILLIS, limit / MAX_SILENCE_PARTS);
	}

	/**
	 * Returns the time until which a suspect target is not completed.
	 * @return the time
	 */
	long latestDoubt() {
		return (long) (this.limit * DOUBT_SHARE);
	}

	/**
	 * Returns how long a step takes.
	 * @param step the step
	 * @param servingSince time at which an endpoint of the target was first seen
	 * @return the duration
	 */
	long stepMillis(RolloutStep step, long servingSince) {
		double scale = Math.max(MIN_SCALE, Math.min(1, (this.latestFullAt - servingSince) / (double) this.fullAt));
		return (long) (this.fullAt * step.timeShare() * scale);
	}

}
