package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.message.CapHistory;
import carawayswitch.message.OrganisationCapState;
import carawayswitch.message.OrganisationHistory;
import carawayswitch.message.OrganisationUse;
import carawayswitch.schedule.DeferredCapAccounting;
import carawayswitch.schedule.SlidingWindowCap;
import carawayswitch.schedule.SlidingWindowCounter;

/**
 * Use of the caps of organisations by the requests of this host: charges requests that
 * need no place, reports the charges to the owner afterwards, and remembers recent use
 * for a new owner. Confined to the event loop thread.
 */
final class CapUseReporter {

	private final NioReactor reactor;

	private final GatewaySettings.Bounds bounds;

	private final long startedAt;

	private final Consumer<List<OrganisationUse>> report;

	private final DeferredCapAccounting deferredUse;

	/** Recent cap use by requests of this host, by organisation. */
	private final Map<String, SlidingWindowCounter> histories = new HashMap<>();

	private boolean reportScheduled;

	CapUseReporter(NioReactor reactor, GatewaySettings.Bounds bounds, long startedAt,
			Consumer<List<OrganisationUse>> report) {
		this.reactor = reactor;
		this.bounds = bounds;
		this.startedAt = startedAt;
		this.report = report;
		this.deferredUse = new DeferredCapAccounting(bounds.capSlack() * OrganisationCaps.UNCOORDINATED_SHARE,
				bounds.capWindowMillis());
	}

	/**
	 * Charges a cap locally and has the charge reported.
	 * @param organisation name of the organisation
	 * @param units number of cap units
	 * @param hosts number of hosts that share the cap
	 * @param now monotonic time in milliseconds
	 * @return 0 if the request may run, or the time in milliseconds after which to retry
	 */
	long take(String organisation, int units, int hosts, long now) {
		long wait = this.deferredUse.tryAcquire(organisation, units, hosts, now);
		if (wait == 0) {
			record(organisation, units, now);
		}
		if (!this.reportScheduled) {
			scheduleReport();
		}
		return wait;
	}

	void record(String organisation, int units, long now) {
		this.histories
			.computeIfAbsent(organisation,
					(name) -> new SlidingWindowCounter(
							this.bounds.capWindowMillis() + SlidingWindowCap.ARRIVAL_DELAY_MILLIS, now))
			.add(units, now);
	}

	private void scheduleReport() {
		this.reportScheduled = true;
		this.reactor.delayBackground(DeferredCapAccounting.REPORT_INTERVAL_MILLIS, () -> {
			this.reportScheduled = false;
			List<OrganisationUse> uses = this.deferredUse.nextReport(Clocks.monotonicMillis());
			if (!uses.isEmpty()) {
				scheduleReport();
				this.report.accept(uses);
			}
		});
	}

	void onAcknowledged(List<OrganisationCapState> states, long now) {
		this.deferredUse.onAcknowledged(states, now);
	}

	/**
	 * Returns the recent use of all caps by this host.
	 * @param now monotonic time in milliseconds
	 * @return the message to a new owner
	 */
	CapHistory history(long now) {
		List<OrganisationHistory> organisations = new ArrayList<>();
		this.histories.forEach(
				(name, history) -> organisations.add(new OrganisationHistory(name, history.unitsNewestFirst(now))));
		return new CapHistory(now - this.startedAt, organisations);
	}

}
