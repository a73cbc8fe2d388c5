package carawayswitch.schedule;

/**
 * Mutable progress of one dispatched attempt. Times are in milliseconds. Confined to the
 * thread of its {@link EndpointScheduler}.
 */
final class RunningAttempt {

	final Work work;

	final long dispatchedAtMillis;

	/** Prompt tokens that are probably not in the endpoint's prefix cache. */
	final int uncachedTokens;

	/** Time of the first token, or -1 before it. */
	long firstTokenAtMillis = -1;

	/** Time of the newest tokens; the time of dispatch before the first token. */
	long lastTokenAtMillis;

	int receivedTokens;

	boolean preempting;

	RunningAttempt(Work work, long dispatchedAtMillis, int uncachedTokens) {
		this.work = work;
		this.dispatchedAtMillis = dispatchedAtMillis;
		this.lastTokenAtMillis = dispatchedAtMillis;
		this.uncachedTokens = uncachedTokens;
	}

	boolean preemptibleBy(int urgency) {
		return !this.preempting && this.work.pressure().preemptible() && this.work.urgency() < urgency;
	}

}
