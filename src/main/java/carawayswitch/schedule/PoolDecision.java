package carawayswitch.schedule;

/**
 * Decision on a place request: granted at an engine or rejected. Immutable.
 *
 * @param request the place request
 * @param engine id of the engine on which it may run, or null if it is rejected
 * @param retryAfterMillis advised retry delay of a rejection in milliseconds; 0 for a
 * grant
 * @param reason short reason of the decision for the requesting host and its log
 */
public record PoolDecision(PoolRequest request, String engine, long retryAfterMillis, String reason) {

	/**
	 * Returns whether the request may run.
	 * @return true if an engine was chosen
	 */
	public boolean granted() {
		return this.engine != null;
	}

}
