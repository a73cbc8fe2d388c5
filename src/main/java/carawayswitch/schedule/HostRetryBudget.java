package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One host's part of a retry budget that all hosts share, over a sliding window. A host
 * may use the retries that its own requests earn, and an equal part of a fixed number of
 * retries for all hosts. A process that may have had a predecessor on its host uses at
 * first only the rest of that number, which the predecessor has left. Invariant: if every
 * host keeps to its part, the budget holds in every window without communication between
 * hosts. Times are milliseconds. Not safe for use by several threads.
 */
public final class HostRetryBudget {

	/**
	 * Share of the budget that is used; the rest covers the time until hosts notice that
	 * the number of hosts has changed.
	 */
	static final double USABLE_SHARE = 0.7;

	/** Start time of a process whose host has made no retries before. */
	public static final long NO_PREDECESSOR = Long.MIN_VALUE;

	private final Deque<Long> requestTimes = new ArrayDeque<>();

	private final Deque<Long> retryTimes = new ArrayDeque<>();

	private final double retriesPerRequest;

	private final double sharedRetries;

	private final long windowMillis;

	private final long startedAt;

	/**
	 * Creates a budget without recorded requests.
	 * @param retriesPerRequest number of retries that each request of this host earns
	 * @param sharedRetries fixed number of retries in a window for all hosts together
	 * @param windowMillis length of the sliding window in milliseconds
	 */
	public HostRetryBudget(double retriesPerRequest, double sharedRetries, long windowMillis) {
		this(retriesPerRequest, sharedRetries, windowMillis, NO_PREDECESSOR);
	}

	/**
	 * Creates a budget of a process that may have had a predecessor on its host.
	 * @param retriesPerRequest number of retries that each request of this host earns
	 * @param sharedRetries fixed number of retries in a window for all hosts together
	 * @param windowMillis length of the sliding window in milliseconds
	 * @param startedAt time in milliseconds at which the process started, or
	 * {@link #NO_PREDECESSOR}
	 */
	public HostRetryBudget(double retriesPerRequest, double sharedRetries, long windowMillis, long startedAt) {
		this.startedAt = startedAt;
		this.retriesPerRequest = retriesPerRequest;
		this.sharedRetries = sharedRetries;
		this.windowMillis = windowMillis;
	}

	/**
	 * Records a request of this host.
	 * @param now time in milliseconds
	 */
	public void onRequest(long now) {
		removeExpired(this.requestTimes, now);
		this.requestTimes.addLast(now);
	}

	/**
	 * Takes a retry out of the budget if one is left in the window.
	 * @param hosts number of hosts that share the budget
	 * @param now time in milliseconds
	 * @return true if the retry is allowed
	 */
	public boolean tryRetry(int hosts, long now) {
		removeExpired(this.requestTimes, now);
		removeExpired(this.retryTimes, now);
		double allowed = USABLE_SHARE * this.retriesPerRequest * this.requestTimes.size()
				+ usableSharedRetries(now) / Math.max(1, hosts);
		if (this.retryTimes.size() + 1 > allowed) {
			return false;
		}
		this.retryTimes.addLast(now);
		return true;
	}

	// Grows in proportion to the age of the process, so that several processes of a host
	// in one window use no more together than one of the age of the window.
	private double usableSharedRetries(long now) {
		if (this.startedAt == NO_PREDECESSOR || now - this.startedAt >= this.windowMillis) {
			return USABLE_SHARE * this.sharedRetries;
		}
		return (1 - USABLE_SHARE) * this.sharedRetries * (now - this.startedAt) / this.windowMillis;
	}

	private void removeExpired(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() >= this.windowMillis) {
			times.removeFirst();
		}
	}

}
