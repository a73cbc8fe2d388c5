package carawayswitch.schedule;

/**
 * Adapts the number of requests that run at an engine, so that the time between tokens
 * and the time to the first token stay below their targets and the engine's own queue
 * stays short. Increases by one step, decreases by a fraction. Times are milliseconds.
 * Not safe for use by several threads.
 */
final class AimdConcurrencyLimit {

	/** Target of the time between two tokens in milliseconds. */
	static final double TOKEN_INTERVAL_TARGET_MILLIS = 79;

	/** Target of the time to the first token in milliseconds. */
	static final double TIME_TO_FIRST_TOKEN_TARGET_MILLIS = 1100;

	private static final double INCREASE_THRESHOLD = 0.8;

	private static final double DECREASE_FACTOR = 0.9;

	private static final long ADJUSTMENT_INTERVAL_MILLIS = 500;

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
