package carawayswitch.schedule;

/**
 * How an attempt at an endpoint ended, as far as it tells about the endpoint. Immutable.
 */
public enum AttemptResult {

	/** The answer was complete. */
	ANSWERED(0),

	/** The caller went away or the deadline passed. */
	ABANDONED(0),

	/** The endpoint answered with a failure of its own. */
	FAILED(1),

	/** The answer was lost or could not be used. */
	LOST(1),

	/** The endpoint did not take the request. */
	NOT_TAKEN(0.5),

	/** No connection could be made. */
	UNREACHABLE(1);

	private final double failureWeight;

	AttemptResult(double failureWeight) {
		this.failureWeight = failureWeight;
	}

	/**
	 * Returns how much the end counts as a failure of the endpoint.
	 * @return 0 for no failure to 1 for a full one
	 */
	double failureWeight() {
		return this.failureWeight;
	}

}
