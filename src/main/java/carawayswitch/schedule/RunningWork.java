package carawayswitch.schedule;

/**
 * Progress of one dispatched attempt. Times are milliseconds. Confined to the thread of
 * its {@link EndpointScheduler}.
 */
final class RunningWork {

	final Work work;

	final long dispatchedAt;

	final int uncachedTokens;

	long firstTokenAt = -1;

	long lastTokenAt;

	int tokens;

	boolean stopping;

	RunningWork(Work work, long dispatchedAt, int uncachedTokens) {
		this.work = work;
		this.dispatchedAt = dispatchedAt;
		this.lastTokenAt = dispatchedAt;
		this.uncachedTokens = uncachedTokens;
	}

	boolean preemptible(int byUrgency) {
		return !this.stopping && this.work.pressure().preemptible() && this.work.urgency() < byUrgency;
	}

}
