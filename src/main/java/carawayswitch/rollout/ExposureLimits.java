package carawayswitch.rollout;

/**
 * Bounds of the deployment on the requests that a bad version gets. Immutable.
 *
 * @param share largest share of the requests for its service
 * @param slack number of requests beyond that share
 * @param rollbackMillis time in milliseconds after its 50th bad answer from which a bad
 * version gets no request
 */
public record ExposureLimits(double share, double slack, long rollbackMillis) {

	/** Share of the slack that a step with a share below the bound may use. */
	private static final double USED_SLACK = 0.8;

	/**
	 * Part of the requests that are expected until the time limit on which a step beyond
	 * the bound counts: demand may fall to half of what it was.
	 */
	private static final double CERTAIN_DEMAND = 0.5;

	/**
	 * Returns whether a number of requests keeps the bound as of now.
	 * @param sent requests sent to the target
	 * @param requests requests for the service
	 * @return true if it does
	 */
	boolean allows(double sent, double requests) {
		return sent <= this.share * requests + USED_SLACK * this.slack;
	}

	/**
	 * Returns whether a number of requests keeps the bound at the time limit.
	 * @param sent requests sent to the target
	 * @param requests requests for the service until now
	 * @param expected requests that are expected until the limit
	 * @return true if it does unless demand falls
	 */
	boolean allowsUntilLimit(double sent, double requests, double expected) {
		return sent <= this.share * (requests + CERTAIN_DEMAND * expected) + this.slack;
	}

}
