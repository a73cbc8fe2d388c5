package carawayswitch.rollout;

/**
 * Times of the rollout that a host decides on, in its own monotonic milliseconds. They
 * are derived from the stored wall-clock times when another host has begun the rollout.
 * Confined to its {@link RolloutPlanner}.
 */
final class RolloutClock {

	/** Time for which a new owner waits for the reports of all hosts. */
	private static final long REPORT_WAIT_MILLIS = 1000;

	/**
	 * Time for which a new owner judges by what was before it: the former one may have
	 * found a fault, and sent nothing to the target since, but not stored it.
	 */
	private static final long INHERITED_MILLIS = 2000;

	private long startedAt;

	private long stepSince;

	private long adoptedAt;

	/** Whether another owner has decided before {@link #adoptedAt}. */
	private boolean inherited;

	/**
	 * Time from which evidence is collected of a rollout that another owner has led: a
	 * host without a report may have run requests before.
	 */
	private long evidenceSince = Long.MIN_VALUE / 2;

	/** Time since the start at which the target was first seen, or a negative number. */
	private long servingSince = -1;

	/**
	 * Takes over the times of stored progress.
	 * @param stored the progress
	 * @param sameRollout whether it continues the rollout that this clock has
	 * @param sameStep whether it continues its step
	 * @param wallMillis wall-clock time in milliseconds
	 * @param now current time
	 */
	void adopt(RolloutProgress stored, boolean sameRollout, boolean sameStep, long wallMillis, long now) {
		if (!sameRollout) {
			this.servingSince = (stored.step() > 0) ? 0 : -1;
			// The wall clock may have been stepped; the time that was stored has passed.
			this.startedAt = now - Math.max(stored.elapsedMillis(),
					Math.min(wallMillis - stored.startedWallMillis(), stored.durationMillis()));
			this.adoptedAt = now;
			this.inherited = stored.step() > 0;
			// A rollout without another version ends when it begins.
			this.evidenceSince = (stored.elapsedMillis() > 0) ? now : Long.MIN_VALUE / 2;
		}
		if (!sameStep) {
			long inStep = Math.max(0, wallMillis - stored.stepWallMillis());
			this.stepSince = sameRollout ? now : now - Math.min(inStep, now - this.startedAt);
		}
	}

	void becomeOwner(long now) {
		this.adoptedAt = now;
		this.inherited = true;
		this.evidenceSince = now;
	}

	// Records that the target serves. The first step begins when it does.
	void onServing(long now) {
		if (this.servingSince < 0) {
			this.servingSince = elapsed(now);
			this.stepSince = now;
		}
	}

	long elapsed(long now) {
		return now - this.startedAt;
	}

	long inStep(long now) {
		return now - this.stepSince;
	}

	// Time since the start at which the target was first seen, or 0 if it was not.
	long servingSince() {
		return Math.max(0, this.servingSince);
	}

	// Whether what was before this owner still counts.
	boolean inherits(long now) {
		return this.inherited && now - this.adoptedAt < INHERITED_MILLIS;
	}

	// Whether the reports of some hosts may still be on their way.
	boolean awaitsReports(long now) {
		return now - this.adoptedAt < REPORT_WAIT_MILLIS;
	}

	boolean collectsFor(long millis, long now) {
		return now - this.evidenceSince >= millis;
	}

}
