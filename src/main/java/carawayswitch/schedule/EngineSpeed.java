package carawayswitch.schedule;

/**
 * Speed of one engine, learned from when its answers begin and end. Times are
 * milliseconds. Not safe for use by several threads.
 */
final class EngineSpeed {

	/** Time to a first event without a prompt that is assumed of every engine. */
	static final double BASE_MILLIS = 20;

	/** Time per prompt token that is assumed of an engine before it is measured. */
	static final double PROMPT_TOKEN_MILLIS = 0.02;

	/** Time per output token that is assumed of an engine before it is measured. */
	static final double OUTPUT_TOKEN_MILLIS = 4;

	/** Part of the time per output token that grows with the requests that run. */
	static final double BATCH_SHARE = 0.2;

	private static final double SMOOTHING = 0.25;

	private static final double MIN_FACTOR = 0.2;

	private static final double MAX_FACTOR = 30;

	/** Stands for the speed of no engine; only asked about no work. */
	static final EngineSpeed NONE = new EngineSpeed();

	/** Slowness against the assumed time to a first event. */
	private double promptFactor = 1;

	private double outputTokenMillis = OUTPUT_TOKEN_MILLIS;

	void onFirstEvent(int promptTokens, long millis) {
		double sample = millis / nominal(promptTokens);
		double bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, sample));
		this.promptFactor += SMOOTHING * (bounded - this.promptFactor);
	}

	void onStream(int tokens, long millis) {
		if (tokens > 0 && millis > 0) {
			this.outputTokenMillis += SMOOTHING * ((double) millis / tokens - this.outputTokenMillis);
		}
	}

	private static double nominal(int promptTokens) {
		return BASE_MILLIS + promptTokens * PROMPT_TOKEN_MILLIS;
	}

	double firstEventMillis(int promptTokens) {
		return nominal(promptTokens) * this.promptFactor;
	}

	/**
	 * Returns the sum of the times to the first events of several requests that follow
	 * each other.
	 * @param requests number of requests
	 * @param promptTokens tokens of all their prompts
	 * @return time in milliseconds
	 */
	double firstEventMillis(int requests, long promptTokens) {
		return (requests * BASE_MILLIS + promptTokens * PROMPT_TOKEN_MILLIS) * this.promptFactor;
	}

	double tokenMillis() {
		return this.outputTokenMillis;
	}

	double streamMillis(long tokens, int running, int slots) {
		double crowding = 1 - BATCH_SHARE + BATCH_SHARE * running / Math.max(1, slots);
		return tokens * this.outputTokenMillis * crowding;
	}

}
