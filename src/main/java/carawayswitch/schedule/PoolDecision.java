package carawayswitch.schedule;

/**
 * What becomes of a demand. Immutable.
 *
 * @param request the demand
 * @param engine id of the engine that it may run on, or null if it is refused
 * @param retryAfterMillis for a refusal, time in milliseconds after which a place is
 * expected
 * @param reason what decided
 */
public record PoolDecision(PoolRequest request, String engine, long retryAfterMillis, String reason) {

	/**
	 * Returns whether the demand may run.
	 * @return true if an engine was chosen
	 */
	public boolean granted() {
		return this.engine != null;
	}

}
