package carawayswitch.schedule;

/**
 * Length and timing of the stream of one attempt. Immutable. Times are milliseconds.
 *
 * @param outputTokens number of tokens of the answer
 * @param streamMillis time from the first event to the end
 * @param longestPauseMillis longest time between two events
 */
public record StreamStats(int outputTokens, long streamMillis, long longestPauseMillis) {

	/** Stream of an attempt without any event. */
	public static final StreamStats NONE = new StreamStats(0, 0, 0);

}
