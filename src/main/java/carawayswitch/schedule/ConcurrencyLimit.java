package carawayswitch.schedule;

/**
 * Adapts the number of requests that run at an engine, so that the time between tokens
 * and the time to the first token stay below their targets and the engine's own queue
 * stays short. Increases by one step, decreases by a fraction. Times are milliseconds.
 * Not safe for use by several threads.
 */
final class ConcurrencyLimit {

	/** Target of the time between two tokens in milliseconds. */
	static final double TOKEN_TARGET_MILLIS = 79;

	/** Target of the time to the first token in milliseconds. */
	static final double FIRST_TOKEN_TARGET_MILLIS = 1100;

	private static final double HEADROOM = 0.8;

	private static final double DECREASE = 0.9;

	private static final long ADJUST_MILLIS = 500;

	private static final double SMOOTHING = 0.2;

	private static final int MINIMUM = 2;

	private final int maximum;

	private double limit;

	private double tokenMillis;

	private double firstTokenMillis;

	private long adjustedAt;

	ConcurrencyLimit(int maximum) {
		this.maximum = maximum;
		this.limit = maximum;
	}

	void onTokenInterval(double millis) {
		this.tokenMillis += SMOOTHING * (millis - this.tokenMillis);
	}

	void onFirstToken(double millis) {
		this.firstTokenMillis += SMOOTHING * (millis - this.firstTokenMillis);
	}

	void adjust(int running, long now) {
		if (now - this.adjustedAt < ADJUST_MILLIS) {
			return;
		}
		this.adjustedAt = now;
		double pressure = Math.max(this.tokenMillis / TOKEN_TARGET_MILLIS,
				this.firstTokenMillis / FIRST_TOKEN_TARGET_MILLIS);
		if (pressure > 1) {
			this.limit = Math.max(Math.min(MINIMUM, this.maximum), this.limit * DECREASE);
		}
		else if (pressure < HEADROOM && running >= (int) this.limit) {
			this.limit = Math.min(this.maximum, this.limit + 1);
		}
	}

	int limit() {
		return (int) this.limit;
	}

}
