package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This host's part of a retry budget that all hosts share. A host may spend what its own
 * requests earn, and an equal part of what is free to all. Invariant: if every host keeps
 * to its part, the budget holds in every window, without any word between hosts. Times
 * are milliseconds. Not safe for use by several threads.
 */
public final class HostRetryBudget {

	/**
	 * Part of the budget that is spent; the rest covers hosts that count each other late.
	 */
	static final double USABLE_SHARE = 0.7;

	private final Deque<Long> requestTimes = new ArrayDeque<>();

	private final Deque<Long> retryTimes = new ArrayDeque<>();

	private final double retriesPerRequest;

	private final double sharedRetries;

	private final long windowMillis;

	/**
	 * Creates a share.
	 * @param retriesPerRequest retries per request
	 * @param sharedRetries retries that are free to all hosts together in a window
	 * @param windowMillis length of the window in milliseconds
	 */
	public HostRetryBudget(double retriesPerRequest, double sharedRetries, long windowMillis) {
		this.retriesPerRequest = retriesPerRequest;
		this.sharedRetries = sharedRetries;
		this.windowMillis = windowMillis;
	}

	/**
	 * Records a request.
	 * @param now time in milliseconds
	 */
	public void onRequest(long now) {
		removeExpired(this.requestTimes, now);
		this.requestTimes.addLast(now);
	}

	/**
	 * Takes a retry out of the share.
	 * @param hosts number of hosts that share the budget
	 * @param now time in milliseconds
	 * @return true if the retry is allowed
	 */
	public boolean tryRetry(int hosts, long now) {
		removeExpired(this.requestTimes, now);
		removeExpired(this.retryTimes, now);
		double allowed = USABLE_SHARE
				* (this.retriesPerRequest * this.requestTimes.size() + this.sharedRetries / Math.max(1, hosts));
		if (this.retryTimes.size() + 1 > allowed) {
			return false;
		}
		this.retryTimes.addLast(now);
		return true;
	}

	private void removeExpired(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() >= this.windowMillis) {
			times.removeFirst();
		}
	}

}
