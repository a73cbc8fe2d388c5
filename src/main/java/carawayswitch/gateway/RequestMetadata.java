package carawayswitch.gateway;

/**
 * What a client's request says beyond its method, target and body. Immutable.
 *
 * @param attemptId id of the attempt; empty if the client sent none
 * @param hostHeader value of the Host header, or null
 * @param apiKey API key, or null
 * @param waitLimitMillis time that the client will wait in milliseconds, or -1
 * @param tokenCountsPresent true if the request states its size in tokens
 * @param promptTokens length of the prompt in tokens
 * @param maxOutputTokens longest answer in tokens
 * @param expectedOutputTokens the client's estimate of the answer in tokens, or 0
 * @param lastSegmentId id of the last part of the prompt, or empty
 * @param lastSegmentTokens length of that part in tokens
 */
public record RequestMetadata(String attemptId, String hostHeader, String apiKey, long waitLimitMillis,
		boolean tokenCountsPresent, int promptTokens, int maxOutputTokens, int expectedOutputTokens,
		String lastSegmentId, int lastSegmentTokens) {

	/**
	 * Returns what the attempt counts for against a cap in tokens.
	 * @return prompt and longest answer in tokens
	 */
	public int capTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
