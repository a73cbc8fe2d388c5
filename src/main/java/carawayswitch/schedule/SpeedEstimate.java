package carawayswitch.schedule;

/**
 * Speed of one endpoint, learned from the progress of its answers. Load reports are not
 * used. Times are milliseconds. Not safe for use by several threads.
 */
final class SpeedEstimate {

	private static final double SMOOTHING = 0.1;

	private static final double BEST_DECAY = 1.0005;

	private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.2;

	private static final double INITIAL_MILLIS_PER_TOKEN = 30;

	private double prefillMillisPerToken = INITIAL_PREFILL_MILLIS_PER_TOKEN;

	private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private double bestMillisPerToken = INITIAL_MILLIS_PER_TOKEN;

	private boolean measured;

	void onFirstToken(int uncachedTokens, long millis) {
		if (uncachedTokens > 0) {
			double sample = (double) millis / uncachedTokens;
			this.prefillMillisPerToken += SMOOTHING * (sample - this.prefillMillisPerToken);
		}
	}

	void onTokens(int tokens, long millis) {
		if (tokens <= 0) {
			return;
		}
		double sample = (double) millis / tokens;
		this.millisPerToken = this.measured ? this.millisPerToken + SMOOTHING * (sample - this.millisPerToken) : sample;
		this.bestMillisPerToken = this.measured ? Math.min(this.bestMillisPerToken * BEST_DECAY, this.millisPerToken)
				: sample;
		this.measured = true;
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

	double slowdown() {
		return Math.max(1, this.millisPerToken / Math.max(0.001, this.bestMillisPerToken));
	}

}
