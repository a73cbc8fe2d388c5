package carawayswitch.gateway;

import java.util.List;

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
 * @param promptSegments ids of the segments of the prompt in order
 * @param lastEventId id of the last event of a stream that the client takes up again, or
 * null if it takes up none
 * @param resumedStream id of the client's attempt that brought the first event of that
 * stream, or empty if the client names none
 */
public record RequestMetadata(String attemptId, String hostHeader, String apiKey, long waitLimitMillis,
		boolean tokenCountsPresent, int promptTokens, int maxOutputTokens, int expectedOutputTokens,
		List<String> promptSegments, String lastEventId, String resumedStream) {

	/** Metadata of a request whose headers cannot be decoded. */
	static final RequestMetadata UNREADABLE = new RequestMetadata("", null, null, -1, false, 0, 0, 0, List.of(), null,
			"");

	public RequestMetadata {
		promptSegments = List.copyOf(promptSegments);
	}

	/**
	 * Returns the number of tokens charged to a token cap.
	 * @return prompt tokens plus the largest number of output tokens
	 */
	public int capTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

	/**
	 * Returns the segments that other requests may share: all but the last one, which
	 * belongs to the request or its session.
	 * @return ids of the segments in order
	 */
	public List<String> sharedSegments() {
		return this.promptSegments.subList(0, Math.max(0, this.promptSegments.size() - 1));
	}

	/**
	 * Returns the last segment, which belongs to the request or its session.
	 * @return id of the segment, or empty if the request states none
	 */
	public String lastSegment() {
		return this.promptSegments.isEmpty() ? "" : this.promptSegments.get(this.promptSegments.size() - 1);
	}

}
