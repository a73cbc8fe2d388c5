package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This host's part of a retry budget that all hosts share. A host may spend what its own
 * requests earn, and an equal part of what is free to all. Invariant: if every host keeps
 * to its part, the budget holds in every window, without any word between hosts. Times
 * are milliseconds. Not safe for use by several threads.
 */
public final class RetryShare {

	/**
	 * Part of the budget that is spent; the rest covers hosts that count each other late.
	 */
	static final double SPENT_SHARE = 0.7;

	private final Deque<Long> requests = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	private final double ratio;

	private final double extra;

	private final long windowMillis;

	/**
	 * Creates a share.
	 * @param ratio retries per request
	 * @param extra retries that are free to all hosts together in a window
	 * @param windowMillis length of the window in milliseconds
	 */
	public RetryShare(double ratio, double extra, long windowMillis) {
		this.ratio = ratio;
		this.extra = extra;
		this.windowMillis = windowMillis;
	}

	/**
	 * Records a request.
	 * @param now time in milliseconds
	 */
	public void request(long now) {
		forget(this.requests, now);
		this.requests.addLast(now);
	}

	/**
	 * Takes a retry out of the share.
	 * @param hosts number of hosts that share the budget
	 * @param now time in milliseconds
	 * @return true if the retry is allowed
	 */
	public boolean tryRetry(int hosts, long now) {
		forget(this.requests, now);
		forget(this.retries, now);
		double allowed = SPENT_SHARE * (this.ratio * this.requests.size() + this.extra / Math.max(1, hosts));
		if (this.retries.size() + 1 > allowed) {
			return false;
		}
		this.retries.addLast(now);
		return true;
	}

	private void forget(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() >= this.windowMillis) {
			times.removeFirst();
		}
	}

}
