package carawayswitch.schedule;

/**
 * Passive failure detector of one endpoint with exponential backoff, fed by the results
 * of attempts and by overdue answers. Separate health checks are not used, since they can
 * report a failing endpoint as healthy and a healthy one as failing. Times are in
 * milliseconds. Not thread-safe.
 */
final class EndpointHealth {

	/** Weight of the newest attempt in the moving average of the failure rate. */
	static final double SMOOTHING_FACTOR = 0.3;

	/** Failure rate above which a failed attempt makes the endpoint back off. */
	static final double MAX_FAILURE_RATE = 0.6;

	/** Initial backoff in milliseconds; about the start-up time of a new process. */
	static final long INITIAL_BACKOFF_MILLIS = 700;

	/**
	 * Longest backoff in milliseconds; bounds how long a recovered endpoint stays idle.
	 */
	static final long MAX_BACKOFF_MILLIS = 3000;

	/**
	 * Backoff in milliseconds after a full endpoint did not take an attempt; about the
	 * time between two chunks of an answer.
	 */
	static final long REJECTION_BACKOFF_MILLIS = 60;

	private double failureRate;

	private long nextBackoffMillis = INITIAL_BACKOFF_MILLIS;

	private long backoffUntilMillis = Long.MIN_VALUE;

	/** End of the latest backoff after a failure; rejections do not change it. */
	private long failureBackoffUntilMillis = Long.MIN_VALUE;

	private boolean suspected;

	/**
	 * Records the result of an attempt. An unreachable endpoint backs off at once, one
	 * that fails only once its failure rate is too high. Abandoned attempts are ignored,
	 * since a client that disconnects says nothing about the endpoint.
	 * @param result result of the attempt
	 * @param now current time in milliseconds
	 */
	void onAttemptEnded(AttemptResult result, long now) {
		if (result == AttemptResult.ABANDONED) {
			return;
		}
		this.failureRate += SMOOTHING_FACTOR * (result.failureWeight() - this.failureRate);
		if (result == AttemptResult.ANSWERED) {
			markHealthy();
		}
		else if (result == AttemptResult.NOT_TAKEN) {
			this.backoffUntilMillis = Math.max(this.backoffUntilMillis, now + REJECTION_BACKOFF_MILLIS);
		}
		else if (result == AttemptResult.UNREACHABLE || this.failureRate > MAX_FAILURE_RATE) {
			backOff(now);
		}
	}

	/**
	 * Records that an answer is overdue. The endpoint is suspected, and unavailable apart
	 * from single probes, until it sends a part of an answer.
	 * @param now current time in milliseconds
	 */
	void onOverdue(long now) {
		if (!this.suspected) {
			this.suspected = true;
			backOff(now);
		}
	}

	// A crash ends all attempts at the endpoint, of which each reports a failure. They
	// count as one, since otherwise a single crash causes the longest backoff.
	private void backOff(long now) {
		if (now < this.failureBackoffUntilMillis) {
			return;
		}
		this.failureBackoffUntilMillis = now + this.nextBackoffMillis;
		this.backoffUntilMillis = this.failureBackoffUntilMillis;
		this.nextBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.nextBackoffMillis * 2);
	}

	/** Records that the endpoint sent a part of an answer; ends any backoff. */
	void markHealthy() {
		this.suspected = false;
		this.nextBackoffMillis = INITIAL_BACKOFF_MILLIS;
		this.backoffUntilMillis = Long.MIN_VALUE;
		this.failureBackoffUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Returns whether the endpoint may receive attempts without restriction.
	 * @param now current time in milliseconds
	 * @return true if the endpoint is neither suspected nor backing off
	 */
	boolean available(long now) {
		return now >= this.backoffUntilMillis && !this.suspected;
	}

	/**
	 * Returns whether a suspected endpoint may receive one attempt as a probe.
	 * @param now current time in milliseconds
	 * @return true if the endpoint is suspected and its backoff has passed
	 */
	boolean probeAllowed(long now) {
		return this.suspected && now >= this.backoffUntilMillis;
	}

	/**
	 * Records that a probe was sent; the next one must wait for the next backoff.
	 * @param now current time in milliseconds
	 */
	void onProbe(long now) {
		backOff(now);
	}

	/**
	 * Returns the factor by which failures raise the expected cost of an attempt.
	 * @return the factor, 1 or more
	 */
	double costFactor() {
		double successRate = Math.max(0.05, 1 - this.failureRate);
		return 1 / (successRate * successRate);
	}

}
