package carawayswitch.schedule;

/**
 * Token bucket for an endpoint that names, in its answers, how many requests per second
 * it takes from all hosts together. An endpoint that names no limit is not limited.
 * Invariant: after the limit was named, no more requests are permitted than its rate
 * allows and one burst. Times are milliseconds. Not thread-safe.
 */
final class EndpointRateLimit {

	/**
	 * Time in milliseconds for which unused requests are saved up; covers the interval
	 * between two scheduling passes.
	 */
	static final double BURST_MILLIS = 100;

	private static final double SECOND_MILLIS = 1000;

	/** Requests per second, or 0 for no limit. */
	private double requestsPerSecond;

	private double share = 1;

	private double tokens;

	private long refilledAt;

	private long namedAt;

	/**
	 * Records an answer that names a limit.
	 * @param perSecond requests per second, more than 0
	 * @param initialTokens requests that are permitted at once if there was no limit
	 * before, from 0 to 1
	 * @param now time in milliseconds
	 */
	void name(double perSecond, double initialTokens, long now) {
		if (limited()) {
			refill(now);
		}
		else {
			this.tokens = initialTokens;
			this.refilledAt = now;
		}
		this.requestsPerSecond = perSecond;
		this.namedAt = now;
	}

	/**
	 * Records an answer that names no limit. An answer to a request that was dispatched
	 * before the limit was named does not end it.
	 * @param dispatchedAt time at which the request was dispatched
	 */
	void onUnlimitedAnswer(long dispatchedAt) {
		if (dispatchedAt > this.namedAt) {
			this.requestsPerSecond = 0;
		}
	}

	/**
	 * Sets the share of the limit that may be used.
	 * @param newShare more than 0, up to 1
	 * @param now time in milliseconds
	 */
	void share(double newShare, long now) {
		if (newShare != this.share) {
			refill(now);
			this.share = newShare;
		}
	}

	private double rate() {
		return this.requestsPerSecond * this.share;
	}

	private void refill(long now) {
		double burst = Math.max(1, rate() * BURST_MILLIS / SECOND_MILLIS);
		this.tokens = Math.min(burst, this.tokens + (now - this.refilledAt) * rate() / SECOND_MILLIS);
		this.refilledAt = now;
	}

	boolean limited() {
		return this.requestsPerSecond > 0;
	}

	/**
	 * Returns the time until the next request is permitted.
	 * @param now time in milliseconds
	 * @return time in milliseconds, or 0 if a request is permitted now
	 */
	long waitMillis(long now) {
		if (!limited()) {
			return 0;
		}
		refill(now);
		return (this.tokens >= 1) ? 0 : (long) Math.ceil((1 - this.tokens) * SECOND_MILLIS / rate());
	}

	/**
	 * Counts a request that was dispatched.
	 * @param now time in milliseconds
	 */
	void take(long now) {
		if (limited()) {
			refill(now);
			this.tokens--;
		}
	}

	/**
	 * Returns how many of a number of free slots may be used now.
	 * @param slots number of free slots
	 * @param now time in milliseconds
	 * @return number of slots
	 */
	int usableSlots(int slots, long now) {
		if (!limited()) {
			return slots;
		}
		refill(now);
		return (int) Math.min(slots, Math.max(0, this.tokens));
	}

	/**
	 * Returns how many slots the permitted requests keep in use.
	 * @param slots number of slots
	 * @param attemptMillis mean time of an attempt in milliseconds
	 * @return number of slots
	 */
	double sustainedSlots(int slots, double attemptMillis) {
		return limited() ? Math.min(slots, rate() * attemptMillis / SECOND_MILLIS) : slots;
	}

}
