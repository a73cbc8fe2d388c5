package carawayswitch.schedule;

/**
 * Result of an attempt at an endpoint, from which the health of the endpoint is derived.
 * Immutable.
 */
public enum AttemptResult {

	/** The answer was complete. */
	ANSWERED(0),

	/** The caller disconnected or the deadline passed. */
	ABANDONED(0),

	/** The endpoint answered with an error of its own. */
	FAILED(1),

	/** The answer was lost or unusable. */
	LOST(1),

	/** The endpoint did not accept the request. */
	NOT_TAKEN(0.5),

	/** The connection to the endpoint could not be opened. */
	UNREACHABLE(1);

	private final double failureWeight;

	AttemptResult(double failureWeight) {
		this.failureWeight = failureWeight;
	}

	/**
	 * Returns the weight of the result in the failure rate of the endpoint.
	 * @return weight from 0, no failure, to 1, a full failure
	 */
	double failureWeight() {
		return this.failureWeight;
	}

}
