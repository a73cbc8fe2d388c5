package carawayswitch.schedule;

/**
 * Trust in one endpoint, from the ends of attempts there and from answers that are
 * overdue. Health probes are not used, since they may be wrong either way. An endpoint
 * that is not trusted is tried again after a pause that doubles. Times are milliseconds.
 * Not safe for use by several threads.
 */
final class EndpointHealth {

	/** Weight of the newest attempt in the failure rate. */
	static final double SMOOTHING_FACTOR = 0.3;

	/** Failure rate above which the endpoint is not trusted. */
	static final double MAX_FAILURE_RATE = 0.6;

	/** First pause in milliseconds; new processes need about as long to start. */
	static final long INITIAL_BACKOFF_MILLIS = 700;

	/** Longest pause in milliseconds; bounds the time that a mended endpoint is idle. */
	static final long MAX_BACKOFF_MILLIS = 3000;

	/**
	 * Pause after an endpoint was full, in milliseconds; about the length of one answer's
	 * piece.
	 */
	static final long REJECTION_BACKOFF_MILLIS = 60;

	private double failureRate;

	private long nextBackoffMillis = INITIAL_BACKOFF_MILLIS;

	private long backoffUntil = Long.MIN_VALUE;

	private boolean suspected;

	void onAttemptEnded(AttemptResult result, long now) {
		if (result == AttemptResult.ABANDONED) {
			return;
		}
		this.failureRate += SMOOTHING_FACTOR * (result.failureWeight() - this.failureRate);
		if (result == AttemptResult.ANSWERED) {
			markHealthy();
		}
		else if (result == AttemptResult.NOT_TAKEN) {
			this.backoffUntil = Math.max(this.backoffUntil, now + REJECTION_BACKOFF_MILLIS);
		}
		else if (result == AttemptResult.UNREACHABLE || this.failureRate > MAX_FAILURE_RATE) {
			backOff(now);
		}
	}

	void onOverdue(long now) {
		if (!this.suspected) {
			this.suspected = true;
			backOff(now);
		}
	}

	private void backOff(long now) {
		this.backoffUntil = now + this.nextBackoffMillis;
		this.nextBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.nextBackoffMillis * 2);
	}

	/** Records that the endpoint sent something useful. */
	void markHealthy() {
		this.suspected = false;
		this.nextBackoffMillis = INITIAL_BACKOFF_MILLIS;
		this.backoffUntil = Long.MIN_VALUE;
	}

	boolean available(long now) {
		return now >= this.backoffUntil && !this.suspected;
	}

	/**
	 * Returns whether one attempt may show whether the endpoint has recovered.
	 * @param now time in milliseconds
	 * @return true after the pause of an endpoint that is not trusted
	 */
	boolean probeAllowed(long now) {
		return this.suspected && now >= this.backoffUntil;
	}

	void onProbe(long now) {
		backOff(now);
	}

	/**
	 * Returns the factor by which an attempt is expected to cost more.
	 * @return 1 or more
	 */
	double costFactor() {
		double successRate = Math.max(0.05, 1 - this.failureRate);
		return 1 / (successRate * successRate);
	}

}
