package carawayswitch.schedule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import carawayswitch.config.PressurePolicy;

/**
 * Watches protected work that waits: it is at risk when much of its time has passed. A
 * look costs only what has come to be at risk, however much waits. Times are
 * milliseconds. Not safe for use by several threads.
 */
final class DeadlineRiskMonitor {

	/**
	 * Part of the time of protected work that may pass in a queue before it is at risk.
	 */
	static final double RISK_SHARE = 0.5;

	private final PriorityQueue<MonitoredWork> upcoming = new PriorityQueue<>(
			Comparator.comparingDouble(MonitoredWork::riskAtMillis));

	private final Set<Work> atRisk = new HashSet<>();

	/**
	 * Watches work that begins to wait.
	 * @param work the work
	 */
	void onQueued(Work work) {
		if (work.pressure() == PressurePolicy.PROTECT) {
			double riskAtMillis = work.arrivalMillis() + RISK_SHARE * (work.deadlineMillis() - work.arrivalMillis());
			this.upcoming.add(new MonitoredWork(work, riskAtMillis));
		}
	}

	/**
	 * Returns the highest urgency of work that is at risk.
	 * @param isPending tells whether work still waits
	 * @param now time in milliseconds
	 * @return the urgency, or 0 if nothing is at risk
	 */
	int highestUrgencyAtRisk(Predicate<Work> isPending, long now) {
		while (!this.upcoming.isEmpty() && this.upcoming.peek().riskAtMillis() < now) {
			this.atRisk.add(this.upcoming.poll().work());
		}
		this.atRisk.removeIf(isPending.negate());
		return this.atRisk.stream().mapToInt(Work::urgency).max().orElse(0);
	}

	/**
	 * Work and the time from which on it is at risk. Immutable.
	 *
	 * @param work the work
	 * @param riskAtMillis the time
	 */
	private record MonitoredWork(Work work, double riskAtMillis) {

	}

}
