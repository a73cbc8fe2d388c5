package carawayswitch.schedule;

/**
 * Speed of one engine, learned from when its answers begin and end. Times are
 * milliseconds. Not safe for use by several threads.
 */
final class EngineSpeedEstimator {

	/** Time to a first event without a prompt that is assumed of every engine. */
	static final double BASE_LATENCY_MILLIS = 20;

	/** Time per prompt token that is assumed of an engine before it is measured. */
	static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.02;

	/** Time per output token that is assumed of an engine before it is measured. */
	static final double INITIAL_DECODE_MILLIS_PER_TOKEN = 4;

	/** Part of the time per output token that grows with the requests that run. */
	static final double BATCH_DEPENDENT_SHARE = 0.2;

	private static final double SMOOTHING_FACTOR = 0.25;

	private static final double MIN_PREFILL_FACTOR = 0.2;

	private static final double MAX_PREFILL_FACTOR = 30;

	/** Stands for the speed of no engine; only asked about no work. */
	static final EngineSpeedEstimator NONE = new EngineSpeedEstimator();

	/** Slowness against the assumed time to a first event. */
	private double prefillFactor = 1;

	private double decodeMillisPerToken = INITIAL_DECODE_MILLIS_PER_TOKEN;

	void onFirstEvent(int promptTokens, long millis) {
		double sample = millis / assumedFirstEventMillis(promptTokens);
		double boundedSample = Math.max(MIN_PREFILL_FACTOR, Math.min(MAX_PREFILL_FACTOR, sample));
		this.prefillFactor += SMOOTHING_FACTOR * (boundedSample - this.prefillFactor);
	}

	void onStream(int tokens, long millis) {
		if (tokens > 0 && millis > 0) {
			this.decodeMillisPerToken += SMOOTHING_FACTOR * ((double) millis / tokens - this.decodeMillisPerToken);
		}
	}

	private static double assumedFirstEventMillis(int promptTokens) {
		return BASE_LATENCY_MILLIS + promptTokens * INITIAL_PREFILL_MILLIS_PER_TOKEN;
	}

	double firstEventMillis(int promptTokens) {
		return assumedFirstEventMillis(promptTokens) * this.prefillFactor;
	}

	/**
	 * Returns the sum of the times to the first events of several requests that follow
	 * each other.
	 * @param requests number of requests
	 * @param promptTokens tokens of all their prompts
	 * @return time in milliseconds
	 */
	double firstEventMillis(int requests, long promptTokens) {
		return (requests * BASE_LATENCY_MILLIS + promptTokens * INITIAL_PREFILL_MILLIS_PER_TOKEN) * this.prefillFactor;
	}

	double decodeMillisPerToken() {
		return this.decodeMillisPerToken;
	}

	double streamMillis(long tokens, int running, int slots) {
		double batchFactor = 1 - BATCH_DEPENDENT_SHARE + BATCH_DEPENDENT_SHARE * running / Math.max(1, slots);
		return tokens * this.decodeMillisPerToken * batchFactor;
	}

}
