package carawayswitch.gateway;

import carawayswitch.route.Route;

/**
 * Supervises the progress of one attempt from its dispatch to its end. A stream whose
 * pause exceeds a multiple of the gap that its route allows is stalled, which is reported
 * to the owner of the pool. A silent attempt that may be repeated is to be replaced while
 * the client still waits, by an endpoint that can take the request over; until then it
 * goes on, since a sound endpoint may be silent for a second. Any other attempt goes on
 * until its client or its deadline ends it. Times are monotonic milliseconds. Confined to
 * the event loop thread.
 */
final class StreamProgress {

	/**
	 * Clients give up a stream after this many latency objectives, after
	 * {@link #CLIENT_WAIT_GAPS} times the longest allowed gap between events, or after
	 * {@link #MIN_CLIENT_WAIT_MILLIS}, whichever is longest.
	 */
	private static final int CLIENT_WAIT_OBJECTIVES = 4;

	private static final int CLIENT_WAIT_GAPS = 8;

	private static final long MIN_CLIENT_WAIT_MILLIS = 2000;

	/** A stream is stalled after this many times the longest allowed gap. */
	private static final int STALL_GAPS = 4;

	/** Shortest pause of a stalled stream in milliseconds. */
	private static final long MIN_STALL_MILLIS = 600;

	/**
	 * Share of the client's wait after which a silent stream continues at another
	 * endpoint; the rest of the wait is needed to read the prompt again.
	 */
	private static final double REPLACE_SHARE = 0.5;

	/**
	 * Share of the time that the client still waits after which a stream that cannot be
	 * recorded ends; the rest is left for another try of the client.
	 */
	private static final double RECORD_SHARE = 0.5;

	/** Time in milliseconds between two tries to replace a silent attempt. */
	private static final long REPLACE_INTERVAL_MILLIS = 200;

	/**
	 * An attempt is to be replaced if nothing usable arrives within two latency
	 * objectives plus this margin in milliseconds, or within {@link #FIRST_ATTEMPT_SHARE}
	 * of the time to the deadline.
	 */
	private static final long FIRST_EVENT_MARGIN_MILLIS = 1000;

	private static final double FIRST_ATTEMPT_SHARE = 0.5;

	private final Route route;

	private final long firstEventLimitMillis;

	private long lastProgressAt;

	private boolean begun;

	private boolean stalled;

	private long nextReplaceAt;

	StreamProgress(Route route, long dispatchedAt, long deadlineAt) {
		this.route = route;
		this.firstEventLimitMillis = Math.min(FIRST_EVENT_MARGIN_MILLIS + 2 * route.objectiveMillis(),
				(long) ((deadlineAt - dispatchedAt) * FIRST_ATTEMPT_SHARE));
		this.lastProgressAt = dispatchedAt;
	}

	/**
	 * Returns the time after which the client of a silent stream gives up.
	 * @param route the route of the request
	 * @return time in milliseconds
	 */
	static long clientWaitMillis(Route route) {
		return Math.max(MIN_CLIENT_WAIT_MILLIS,
				Math.max(CLIENT_WAIT_OBJECTIVES * route.objectiveMillis(), CLIENT_WAIT_GAPS * route.maxGapMillis()));
	}

	/**
	 * Returns how long the first event of a stream may wait for the record of the stream.
	 * @param route the route of the request
	 * @param waitingSince time from which the client waits for the event
	 * @param deadlineAt time at which the request must have been answered
	 * @param now monotonic time in milliseconds
	 * @return time in milliseconds
	 */
	static long recordLimitMillis(Route route, long waitingSince, long deadlineAt, long now) {
		long givenUpAt = Math.min(deadlineAt, waitingSince + clientWaitMillis(route));
		return Math.max(0, (long) ((givenUpAt - now) * RECORD_SHARE));
	}

	/**
	 * Records that a part of the answer arrived.
	 * @param now monotonic time in milliseconds
	 * @return true if the stream was stalled
	 */
	boolean onProgress(long now) {
		boolean wasStalled = this.stalled;
		this.begun = true;
		this.stalled = false;
		this.nextReplaceAt = 0;
		this.lastProgressAt = now;
		return wasStalled;
	}

	/**
	 * Returns the time of the next check.
	 * @return monotonic time in milliseconds
	 */
	long nextCheckAt() {
		return (this.begun && !this.stalled) ? stallAt() : replaceAt();
	}

	/**
	 * Decides on the pause of the attempt.
	 * @param now monotonic time in milliseconds
	 * @return the verdict; {@link Verdict#STALLED} once for each pause,
	 * {@link Verdict#REPLACE} from time to time
	 */
	Verdict check(long now) {
		if (now >= replaceAt()) {
			this.nextReplaceAt = now + REPLACE_INTERVAL_MILLIS;
			return Verdict.REPLACE;
		}
		if (this.begun && !this.stalled && now >= stallAt()) {
			this.stalled = true;
			return Verdict.STALLED;
		}
		return Verdict.IN_TIME;
	}

	private long stallAt() {
		return this.lastProgressAt + Math.max(MIN_STALL_MILLIS, STALL_GAPS * this.route.maxGapMillis());
	}

	private long replaceAt() {
		if (!this.route.repeatable()) {
			return Long.MAX_VALUE;
		}
		long limitMillis = this.begun ? (long) (clientWaitMillis(this.route) * REPLACE_SHARE)
				: this.firstEventLimitMillis;
		return Math.max(this.lastProgressAt + limitMillis, this.nextReplaceAt);
	}

	/**
	 * What a pause means. Immutable.
	 */
	enum Verdict {

		/** The attempt makes progress or may still do so. */
		IN_TIME,

		/** The stream is silent for longer than its route allows. */
		STALLED,

		/** Another endpoint is to take the request over if one can. */
		REPLACE

	}

}
