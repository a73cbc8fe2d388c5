package carawayswitch.schedule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import carawayswitch.config.PressurePolicy;

/**
 * Detects pending protected work that is at risk of missing its deadline because a large
 * part of its time has passed. The cost of a check depends only on the work that is at
 * risk or has just become so, not on the length of the queue. Times are in milliseconds.
 * Not thread-safe.
 */
final class DeadlineRiskMonitor {

	/**
	 * Share of the time from arrival to deadline after which pending work is at risk.
	 */
	static final double RISK_SHARE = 0.5;

	/** Work that is not at risk yet, ordered by the time at which it will be. */
	private final PriorityQueue<MonitoredWork> upcoming = new PriorityQueue<>(
			Comparator.comparingDouble(MonitoredWork::riskAtMillis));

	private final Set<Work> atRisk = new HashSet<>();

	/**
	 * Starts monitoring queued work; work that is not protected is ignored.
	 * @param work the queued work
	 */
	void onQueued(Work work) {
		if (work.pressure() == PressurePolicy.PROTECT) {
			double riskAtMillis = work.arrivalMillis() + RISK_SHARE * (work.deadlineMillis() - work.arrivalMillis());
			this.upcoming.add(new MonitoredWork(work, riskAtMillis));
		}
	}

	/**
	 * Returns the highest urgency of pending work that is at risk.
	 * @param isPending returns true for work that is still pending
	 * @param now current time in milliseconds
	 * @return the urgency, or 0 if no work is at risk
	 */
	int highestUrgencyAtRisk(Predicate<Work> isPending, long now) {
		while (!this.upcoming.isEmpty() && this.upcoming.peek().riskAtMillis() < now) {
			this.atRisk.add(this.upcoming.poll().work());
		}
		this.atRisk.removeIf(isPending.negate());
		return this.atRisk.stream().mapToInt(Work::urgency).max().orElse(0);
	}

	/**
	 * Work with the time after which it is at risk. Immutable.
	 *
	 * @param work the monitored work
	 * @param riskAtMillis time in milliseconds after which the work is at risk
	 */
	private record MonitoredWork(Work work, double riskAtMillis) {

	}

}
