package carawayswitch.standin;

/**
 * What a stand-in did with one request that reached it. Times are on the monotonic clock
 * of this process. Written by the thread of the event loop; may be read by any thread.
 */
public final class RequestTrace {

	private final String attempt;

	private final int start;

	private final boolean leaving;

	private final long arrivedAt;

	private final long limitMillis;

	private volatile long endedAt = -1;

	private volatile long retryAfterMillis;

	/**
	 * Creates the trace of a request that has just arrived.
	 * @param attempt id of the request
	 * @param start number of restarts of the stand-in before
	 * @param leaving true if the answer says that the stand-in is leaving
	 * @param arrivedAt time in milliseconds
	 * @param limitMillis time in milliseconds that the host still waits
	 */
	RequestTrace(String attempt, int start, boolean leaving, long arrivedAt, long limitMillis) {
		this.attempt = attempt;
		this.start = start;
		this.leaving = leaving;
		this.arrivedAt = arrivedAt;
		this.limitMillis = limitMillis;
	}

	void onEnded(long now) {
		this.endedAt = now;
	}

	void onTurnedAway(long namedMillis) {
		this.retryAfterMillis = namedMillis;
	}

	/**
	 * Returns the id of the request.
	 * @return the id
	 */
	public String attempt() {
		return this.attempt;
	}

	/**
	 * Returns the number of restarts of the stand-in before the request arrived.
	 * @return the number
	 */
	public int start() {
		return this.start;
	}

	/**
	 * Returns whether the answer says that the stand-in is leaving.
	 * @return true if it does
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns the time at which the request arrived.
	 * @return time in milliseconds
	 */
	public long arrivedAt() {
		return this.arrivedAt;
	}

	/**
	 * Returns the latest time at which the limit of the request can have passed at its
	 * host, since some time passes between the two.
	 * @return time in milliseconds
	 */
	public long limitAt() {
		return this.arrivedAt + this.limitMillis;
	}

	/**
	 * Returns the time at which the end of a stream was written.
	 * @return time in milliseconds, or -1 if none was written
	 */
	public long endedAt() {
		return this.endedAt;
	}

	/**
	 * Returns the time for which the stand-in wants no request, named when it turned this
	 * one away.
	 * @return time in milliseconds, or 0 if it named none
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
