package carawayswitch.schedule;

/**
 * Concurrency limit of one engine, adapted by additive increase and multiplicative
 * decrease (AIMD). Keeps the time between tokens and the time to first token below their
 * targets and the engine's own queue short. Times are in milliseconds. Not thread-safe.
 */
final class AimdConcurrencyLimit {

	/** Target for the time between two tokens, in milliseconds. */
	static final double TOKEN_INTERVAL_TARGET_MILLIS = 79;

	/** Target for the time to first token, in milliseconds. */
	static final double TIME_TO_FIRST_TOKEN_TARGET_MILLIS = 1100;

	/** Largest ratio of a latency to its target at which the limit may increase. */
	private static final double INCREASE_THRESHOLD = 0.8;

	private static final double DECREASE_FACTOR = 0.9;

	private static final long ADJUSTMENT_INTERVAL_MILLIS = 500;

	/** Weight of the newest sample in the moving averages of the latencies. */
	private static final double SMOOTHING_FACTOR = 0.2;

	private static final int MIN_LIMIT = 2;

	private final int maxLimit;

	private double limit;

	private double tokenIntervalMillis;

	private double timeToFirstTokenMillis;

	private long lastAdjustmentMillis;

	AimdConcurrencyLimit(int maxLimit) {
		this.maxLimit = maxLimit;
		this.limit = maxLimit;
	}

	void onTokenInterval(double millis) {
		this.tokenIntervalMillis += SMOOTHING_FACTOR * (millis - this.tokenIntervalMillis);
	}

	void onFirstToken(double millis) {
		this.timeToFirstTokenMillis += SMOOTHING_FACTOR * (millis - this.timeToFirstTokenMillis);
	}

	/**
	 * Adjusts the limit, at most once per {@link #ADJUSTMENT_INTERVAL_MILLIS}. It
	 * decreases while a latency exceeds its target, and increases only if both latencies
	 * are well below their targets and the limit is fully used.
	 * @param running number of requests that run at the engine
	 * @param now current time in milliseconds
	 */
	void adjust(int running, long now) {
		if (now - this.lastAdjustmentMillis < ADJUSTMENT_INTERVAL_MILLIS) {
			return;
		}
		this.lastAdjustmentMillis = now;
		double latencyRatio = Math.max(this.tokenIntervalMillis / TOKEN_INTERVAL_TARGET_MILLIS,
				this.timeToFirstTokenMillis / TIME_TO_FIRST_TOKEN_TARGET_MILLIS);
		if (latencyRatio > 1) {
			this.limit = Math.max(Math.min(MIN_LIMIT, this.maxLimit), this.limit * DECREASE_FACTOR);
		}
		else if (latencyRatio < INCREASE_THRESHOLD && running >= (int) this.limit) {
			this.limit = Math.min(this.maxLimit, this.limit + 1);
		}
	}

	int limit() {
		return (int) this.limit;
	}

}
