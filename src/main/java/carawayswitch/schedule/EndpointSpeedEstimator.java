package carawayswitch.schedule;

/**
 * Estimates the prefill and decode speed of one endpoint as moving averages over the
 * progress of its answers. The endpoint's own load reports are not used. Times are in
 * milliseconds. Not thread-safe.
 */
final class EndpointSpeedEstimator {

	/** Weight of the newest sample in the moving averages. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/**
	 * Factor by which the best time per token grows with each sample, so that it does not
	 * stay at a speed that the endpoint no longer reaches.
	 */
	private static final double BEST_GROWTH_FACTOR = 1.0005;

	private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.2;

	private static final double INITIAL_MILLIS_PER_TOKEN = 30;

	private double prefillMillisPerToken = INITIAL_PREFILL_MILLIS_PER_TOKEN;

	private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private double bestMillisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private boolean hasSamples;

	void onFirstToken(int uncachedTokens, long millis) {
		if (uncachedTokens > 0) {
			double sample = (double) millis / uncachedTokens;
			this.prefillMillisPerToken += SMOOTHING_FACTOR * (sample - this.prefillMillisPerToken);
		}
	}

	void onTokens(int tokens, long millis) {
		if (tokens <= 0) {
			return;
		}
		double sample = (double) millis / tokens;
		this.millisPerToken = this.hasSamples ? this.millisPerToken + SMOOTHING_FACTOR * (sample - this.millisPerToken)
				: sample;
		this.bestMillisPerToken = this.hasSamples
				? Math.min(this.bestMillisPerToken * BEST_GROWTH_FACTOR, this.millisPerToken) : sample;
		this.hasSamples = true;
	}

	double serviceMillis(int uncachedTokens, int outputTokens) {
		return prefillMillis(uncachedTokens) + outputTokens * this.millisPerToken;
	}

	double prefillMillis(int uncachedTokens) {
		return uncachedTokens * this.prefillMillisPerToken;
	}

	double millisPerToken() {
		return this.millisPerToken;
	}

	/**
	 * Returns the ratio of the current to the best recent time per token.
	 * @return the ratio, 1 or more
	 */
	double slowdown() {
		return Math.max(1, this.millisPerToken / Math.max(0.001, this.bestMillisPerToken));
	}

}
