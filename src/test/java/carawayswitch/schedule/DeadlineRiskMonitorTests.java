package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import carawayswitch.config.PressurePolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the incremental risk monitor against a full scan of all pending work. Guards
 * against work that is reported at risk too late, after it was removed from the queue, or
 * not at all.
 */
class DeadlineRiskMonitorTests {

	@Property(tries = 300)
	void highestUrgencyAtRiskEqualsThatOfFullScan(
			@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 999) Integer> steps) {
		DeadlineRiskMonitor monitor = new DeadlineRiskMonitor();
		List<Work> queued = new ArrayList<>();
		Set<String> pendingIds = new HashSet<>();
		long now = 0;
		for (int step : steps) {
			now += step % 40;
			Work work = new Work("w" + step % 30, 1 + step % 4, "kind", 1, "organisation", 1,
					(step % 5 == 0) ? PressurePolicy.WAIT : PressurePolicy.PROTECT, 1, 0, 0, 1, 0, now, now + 1 + step);
			if (pendingIds.remove(work.id())) {
				queued.removeIf((other) -> other.id().equals(work.id()));
			}
			else {
				monitor.onQueued(work);
				queued.add(work);
				pendingIds.add(work.id());
			}
			assertThat(monitor.highestUrgencyAtRisk(queued::contains, now))
				.isEqualTo(highestUrgencyByFullScan(queued, now));
		}
	}

	private static int highestUrgencyByFullScan(List<Work> queued, long now) {
		return queued.stream()
			.filter((work) -> work.pressure() == PressurePolicy.PROTECT)
			.filter((work) -> now - work.arrivalMillis() > DeadlineRiskMonitor.RISK_SHARE
					* (work.deadlineMillis() - work.arrivalMillis()))
			.mapToInt(Work::urgency)
			.max()
			.orElse(0);
	}

}
