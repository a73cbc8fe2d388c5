package carawayswitch.rollout;

import java.util.Map;

/**
 * Requests that the target of a rollout and its service got until now, and what the
 * bounds of the deployment allow beyond them. Immutable. Times are milliseconds.
 *
 * @param limits bounds of the deployment
 * @param processes requests by process of the host that received them
 * @param sent attempts that were sent to the target
 * @param requests requests for the service
 */
record TargetExposure(ExposureLimits limits, Map<String, RolloutProgress.Exposure> processes, long sent,
		long requests) {

	/** Answers of the target that a step needs if the bound allows so many. */
	private static final int MIN_ANSWERS = 20;

	/** Part of the slack that makes up for few requests in the first steps. */
	private static final double EARLY_SLACK = 0.4;

	private static final double MAX_EARLY_SHARE = 0.3;

	/** Part of the slack that may be used before it is stored. */
	private static final double UNSTORED_SLACK = 0.1;

	/** Time after which the rate of requests is known. */
	private static final long RATE_MILLIS = 2000;

	/** Lag of the reports of hosts, with a reserve for a slow host. */
	private static final long LAG_MILLIS = 1000;

	/** Time in which a fault is found once all requests go to the target. */
	private static final long REACTION_MILLIS = 2500;

	/**
	 * Joins what hosts have reported with what is stored.
	 * @param limits bounds of the deployment
	 * @param book reports of the hosts
	 * @param progress stored progress
	 * @return the exposure
	 */
	static TargetExposure of(ExposureLimits limits, EvidenceBook book, RolloutProgress progress) {
		Map<String, RolloutProgress.Exposure> processes = book.exposures(progress.target());
		progress.exposures().forEach((name, stored) -> processes.merge(name, stored, RolloutProgress.Exposure::later));
		return new TargetExposure(limits, Map.copyOf(processes),
				processes.values().stream().mapToLong(RolloutProgress.Exposure::sent).sum(),
				processes.values().stream().mapToLong(RolloutProgress.Exposure::requests).sum());
	}

	/**
	 * Returns whether the exposure must be stored. A loss of all hosts loses what is not
	 * stored. While the target gets less than the bound allows, that does no harm.
	 * @param stored stored progress
	 * @return true if too much is not stored
	 */
	boolean unstored(RolloutProgress stored) {
		double beyondShare = this.sent - stored.sent() - this.limits.share() * (this.requests - stored.requests());
		return beyondShare > UNSTORED_SLACK * this.limits.slack();
	}

	/**
	 * Returns whether requests are so few that further small steps tell nothing more.
	 * @return true if they are
	 */
	boolean fewRequests() {
		return this.limits.share() * this.requests < MIN_ANSWERS;
	}

	/**
	 * Returns the number of answers of the target that a step needs.
	 * @return number of answers
	 */
	double neededAnswers() {
		double allowed = (this.limits.share() * this.requests + this.limits.slack()) / 4;
		return Math.min(MIN_ANSWERS, allowed);
	}

	/**
	 * Returns whether the bound holds at the time limit if the target turns out bad in a
	 * step.
	 * @param next the step
	 * @param elapsed time since the start of the rollout
	 * @param schedule times of the rollout
	 * @param servingSince time since the start at which the target was first seen
	 * @return true if it does
	 */
	boolean affordable(RolloutStep next, long elapsed, RolloutSchedule schedule, long servingSince) {
		double perMillis = perMillis(elapsed);
		long stepMillis = (next == RolloutStep.FULL) ? REACTION_MILLIS : schedule.stepMillis(next, servingSince);
		double sentAfter = this.sent + perMillis * next.share(this.limits.share()) * stepMillis;
		return this.limits.allowsUntilLimit(sentAfter, this.requests,
				perMillis * Math.max(0, schedule.limit() - elapsed));
	}

	/**
	 * Returns the share of new requests that the target gets in a step.
	 * @param step the step
	 * @param elapsed time since the start of the rollout
	 * @param schedule times of the rollout
	 * @param servingSince time since the start at which the target was first seen
	 * @return share from 0 to 1
	 */
	double share(RolloutStep step, long elapsed, RolloutSchedule schedule, long servingSince) {
		double share = step.share(this.limits.share());
		if (!step.bounded()) {
			return share;
		}
		double perMillis = perMillis(elapsed);
		double expected = perMillis * share * schedule.stepMillis(step, servingSince);
		if (elapsed >= RATE_MILLIS && expected < MIN_ANSWERS && this.sent < EARLY_SLACK * this.limits.slack()) {
			share = Math.max(share, MAX_EARLY_SHARE);
		}
		return this.limits.allows(this.sent + perMillis * share * LAG_MILLIS, this.requests) ? share : 0;
	}

	private double perMillis(long elapsed) {
		return this.requests / (double) Math.max(RATE_MILLIS, elapsed);
	}

}
