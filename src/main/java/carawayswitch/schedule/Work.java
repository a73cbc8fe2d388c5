package carawayswitch.schedule;

import carawayswitch.config.PressurePolicy;

/**
 * One attempt of a request as the scheduler sees it. Immutable.
 *
 * @param id id of the attempt
 * @param urgency shared urgency; higher is more urgent
 * @param kind kind of work, qualified by fleet
 * @param kindWeight share of the kind beside other kinds
 * @param organisation qualified name of the organisation
 * @param organisationWeight share of the organisation beside others
 * @param pressure treatment under pressure
 * @param promptTokens length of the prompt in tokens
 * @param prefixHash hash of the prompt's prefix, or 0
 * @param prefixTokens length of the prefix in tokens
 * @param expectedTokens expected length of the answer in tokens
 * @param bytes size of the body in bytes
 * @param arrivalMillis time of arrival in milliseconds
 * @param deadlineMillis time of the deadline in milliseconds
 */
public record Work(String id, int urgency, String kind, int kindWeight, String organisation, int organisationWeight,
		PressurePolicy pressure, int promptTokens, long prefixHash, int prefixTokens, int expectedTokens, int bytes,
		long arrivalMillis, long deadlineMillis) {

	/** Cost of a prompt token relative to a generated token. */
	static final double PROMPT_TOKEN_COST = 0.1;

	/**
	 * Returns the cost that fairness charges, in generated tokens.
	 * @return the cost
	 */
	public double cost() {
		return 1 + this.promptTokens * PROMPT_TOKEN_COST + this.expectedTokens;
	}

	int kvTokens() {
		return this.promptTokens + this.expectedTokens;
	}

}
