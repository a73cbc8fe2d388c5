package carawayswitch.schedule;

/**
 * Progress of one dispatched attempt. Times are milliseconds. Confined to the thread of
 * its {@link EndpointScheduler}.
 */
final class RunningAttempt {

	final Work work;

	final long dispatchedAtMillis;

	final int uncachedTokens;

	long firstTokenAtMillis = -1;

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
