package carawayswitch.schedule;

/**
 * Trust in one endpoint, from the ends of attempts there and from answers that are
 * overdue. Health probes are not used, since they may be wrong either way. An endpoint
 * that is not trusted is tried again after a pause that doubles. Times are milliseconds.
 * Not safe for use by several threads.
 */
final class EndpointHealth {

	/** Weight of the newest attempt in the failure rate. */
	static final double SMOOTHING = 0.3;

	/** Failure rate above which the endpoint is not trusted. */
	static final double MAX_FAILURE_RATE = 0.6;

	/** First pause in milliseconds; new processes need about as long to start. */
	static final long FIRST_PAUSE_MILLIS = 700;

	/** Longest pause in milliseconds; bounds the time that a mended endpoint is idle. */
	static final long MAX_PAUSE_MILLIS = 3000;

	/**
	 * Pause after an endpoint was full, in milliseconds; about the length of one answer's
	 * piece.
	 */
	static final long FULL_PAUSE_MILLIS = 60;

	private double failureRate;

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private long pausedUntil = Long.MIN_VALUE;

	private boolean suspected;

	void ended(AttemptResult result, long now) {
		if (result == AttemptResult.ABANDONED) {
			return;
		}
		this.failureRate += SMOOTHING * (result.failureWeight() - this.failureRate);
		if (result == AttemptResult.ANSWERED) {
			trust();
		}
		else if (result == AttemptResult.NOT_TAKEN) {
			this.pausedUntil = Math.max(this.pausedUntil, now + FULL_PAUSE_MILLIS);
		}
		else if (result == AttemptResult.UNREACHABLE || this.failureRate > MAX_FAILURE_RATE) {
			pause(now);
		}
	}

	void overdue(long now) {
		if (!this.suspected) {
			this.suspected = true;
			pause(now);
		}
	}

	private void pause(long now) {
		this.pausedUntil = now + this.pauseMillis;
		this.pauseMillis = Math.min(MAX_PAUSE_MILLIS, this.pauseMillis * 2);
	}

	/** Records that the endpoint sent something useful. */
	void trust() {
		this.suspected = false;
		this.pauseMillis = FIRST_PAUSE_MILLIS;
		this.pausedUntil = Long.MIN_VALUE;
	}

	boolean trusted(long now) {
		return now >= this.pausedUntil && !this.suspected;
	}

	/**
	 * Returns whether one attempt may show whether the endpoint has recovered.
	 * @param now time in milliseconds
	 * @return true after the pause of an endpoint that is not trusted
	 */
	boolean triable(long now) {
		return this.suspected && now >= this.pausedUntil;
	}

	void tried(long now) {
		pause(now);
	}

	/**
	 * Returns the factor by which an attempt is expected to cost more.
	 * @return 1 or more
	 */
	double penalty() {
		double success = Math.max(0.05, 1 - this.failureRate);
		return 1 / (success * success);
	}

}
