package carawayswitch.schedule;

import carawayswitch.config.PressurePolicy;

/**
 * Unit of scheduling: one attempt of a request with the properties that decide its
 * priority, share and cost. Immutable.
 *
 * @param id id of the attempt
 * @param urgency priority on the scale that all fleets share, or in a pool of engines the
 * level of its {@link PoolPriority}; higher is more urgent
 * @param kind kind of work, qualified by fleet
 * @param kindWeight weight of the kind in fair queueing
 * @param organisation qualified name of the organisation
 * @param organisationWeight weight of the organisation in fair queueing
 * @param pressure policy for this work under overload
 * @param promptTokens length of the prompt in tokens
 * @param prefixHash hash of the prompt's prefix, or 0 if it has none
 * @param prefixTokens length of the prompt's prefix in tokens
 * @param expectedTokens expected length of the answer in tokens
 * @param bytes size of the request body in bytes
 * @param arrivalMillis time of arrival in milliseconds
 * @param deadlineMillis deadline as a time in milliseconds
 */
public record Work(String id, int urgency, String kind, int kindWeight, String organisation, int organisationWeight,
		PressurePolicy pressure, int promptTokens, long prefixHash, int prefixTokens, int expectedTokens, int bytes,
		long arrivalMillis, long deadlineMillis) {

	/** Cost of a prompt token in generated tokens. */
	static final double PROMPT_TOKEN_COST = 0.1;

	/**
	 * Returns the cost that fair queueing charges for this work.
	 * @return the cost in generated tokens
	 */
	public double cost() {
		return 1 + this.promptTokens * PROMPT_TOKEN_COST + this.expectedTokens;
	}

	/**
	 * Returns the room that this work needs in the KV cache.
	 * @return number of tokens
	 */
	int kvTokens() {
		return this.promptTokens + this.expectedTokens;
	}

}
