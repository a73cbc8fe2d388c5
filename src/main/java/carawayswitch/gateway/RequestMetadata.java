package carawayswitch.gateway;

/**
 * Decoded headers of a client request. Immutable.
 *
 * @param attemptId id of the client's attempt, or empty if the client sent none
 * @param hostHeader value of the Host header, or null
 * @param apiKey API key, or null
 * @param waitLimitMillis time that the client will wait in milliseconds, or -1 if it sent
 * no limit
 * @param tokenCountsPresent true if the request states its token counts
 * @param promptTokens length of the prompt in tokens
 * @param maxOutputTokens largest number of output tokens
 * @param expectedOutputTokens the client's estimate of the output tokens, or 0
 * @param lastSegmentId id of the last segment of the prompt, or empty
 * @param lastSegmentTokens length of that segment in tokens
 */
public record RequestMetadata(String attemptId, String hostHeader, String apiKey, long waitLimitMillis,
		boolean tokenCountsPresent, int promptTokens, int maxOutputTokens, int expectedOutputTokens,
		String lastSegmentId, int lastSegmentTokens) {

	/**
	 * Returns the number of tokens charged to a token cap.
	 * @return prompt tokens plus the largest number of output tokens
	 */
	public int capTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
