package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.VersionEvidence;
import carawayswitch.message.VersionShare;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.rollout.ExposureLimits;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutPlanner;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.rollout.RolloutState;

/**
 * Runs a {@link RolloutPlanner} for each service with a rollout, stores its changes and
 * reports its states, while this host is the owner of the pools. A change is stored only
 * if no other host has stored one since the last read, so that one host decides. Confined
 * to the event loop thread.
 */
final class RolloutDecisions {

	/** Delay before a failed write is repeated, in milliseconds. */
	private static final long RETRY_MILLIS = 500;

	/**
	 * Time in milliseconds between two reads of the reported states. A report whose
	 * answer was lost may take effect after a later one, and a restored store may lack
	 * some.
	 */
	private static final long STATUS_CHECK_MILLIS = 2000;

	private static final long STATUS_RECHECK_MILLIS = 10_000;

	private final NioReactor reactor;

	private final RolloutStore store;

	private final DecisionLog log;

	private final HostMetrics metrics;

	private final ExposureLimits limits;

	private final Consumer<RolloutProgress> onStored;

	private final String host;

	private final long incarnation;

	private final Map<String, RolloutPlanner> planners = new HashMap<>();

	/** Shares as they were last logged. */
	private final Map<String, VersionShare> logged = new HashMap<>();

	private final Map<String, RolloutStatus> wanted = new HashMap<>();

	/**
	 * Rollouts by service whose end was found in the store. An end that was reported
	 * stays reported: operators may have stopped the other version.
	 */
	private final Map<String, Long> reportedEnds = new HashMap<>();

	/** Services whose wanted state was found in the store. */
	private final Set<String> verified = new HashSet<>();

	/** Revisions that a restored store has lost, by service, to be written again. */
	private final Map<String, Long> lost = new HashMap<>();

	/** Whether the store may lack what its authors are about to write again. */
	private boolean unsettled = true;

	/** Offset in the store up to which this host has read the progress. */
	private long end = -1;

	private boolean writing;

	private boolean checking;

	private long nextCheckAt;

	private boolean owner;

	RolloutDecisions(NioReactor reactor, ExposureLimits limits, RolloutStore store, DecisionLog log,
			HostMetrics metrics, Consumer<RolloutProgress> onStored, String host, long incarnation) {
		this.reactor = reactor;
		this.limits = limits;
		this.store = store;
		this.log = log;
		this.metrics = metrics;
		this.onStored = onStored;
		this.host = host;
		this.incarnation = incarnation;
	}

	private RolloutPlanner planner(String service) {
		return this.planners.computeIfAbsent(service,
				(name) -> new RolloutPlanner(this.limits, this.host, this.incarnation));
	}

	RolloutProgress progress(String service) {
		return planner(service).progress();
	}

	void adopt(RolloutProgress progress) {
		planner(progress.service()).adopt(progress, Clocks.wallMillis(), Clocks.monotonicMillis());
	}

	/**
	 * Handles a read of the progress, which has been adopted.
	 * @param update the read
	 */
	void onRead(RecordFollower.Update<RolloutProgress> update) {
		this.end = update.position().offset();
		if (update.restored()) {
			this.verified.clear();
			this.nextCheckAt = 0;
		}
		this.unsettled = !update.settled();
		if (update.restored() && update.settled()) {
			// Other hosts have written some of it meanwhile.
			this.lost.clear();
		}
		update.entries().values().forEach((read) -> read.ifPresent(this::forgetLost));
		update.lost().forEach((service, missing) -> missing.ifPresent((progress) -> {
			this.log.write(LogEvent.RECORDS_RESTORED, "records", "rollouts", "names", service);
			this.lost.put(service, progress.revision());
		}));
	}

	private void forgetLost(RolloutProgress read) {
		this.lost.computeIfPresent(read.service(),
				(service, revision) -> (read.revision() >= revision) ? null : revision);
	}

	/**
	 * Writes one entry that a restored store has lost. The owner does so at once, other
	 * hosts once the authors of the records had time to.
	 * @param owns true if this host is the owner of the pools
	 */
	void writeLost(boolean owns) {
		if (!this.writing && (owns || !this.unsettled)) {
			this.lost.keySet().stream().findFirst().ifPresent((service) -> store(progress(service), "restored"));
		}
	}

	/**
	 * Records whether this host decides.
	 * @param owns true if it is the owner of the pools
	 * @param now monotonic time in milliseconds
	 */
	void owner(boolean owns, long now) {
		if (owns != this.owner) {
			this.owner = owns;
			this.verified.clear();
			this.wanted.clear();
			this.reportedEnds.clear();
			this.planners.values().forEach((planner) -> {
				planner.resign();
				planner.becomeOwner(now);
			});
		}
	}

	void onEvidence(String host, VersionEvidence evidence, long now) {
		planner(evidence.service()).onEvidence(host, evidence, now);
	}

	/**
	 * Decides on all rollouts.
	 * @param orders orders by service
	 * @param situations what serves by service
	 * @param now monotonic time in milliseconds
	 * @return shares to send to all hosts; none for rollouts that have ended and whose
	 * state is known to the operators
	 */
	List<VersionShare> decide(Map<String, RolloutOrder> orders, Function<String, Situation> situations, long now) {
		orders.forEach((service, order) -> planner(service).order(order));
		List<VersionShare> shares = new ArrayList<>();
		this.planners.forEach((service, planner) -> {
			RolloutPlanner.Plan plan = planner.plan(situations.apply(service).at(Clocks.wallMillis()), now);
			RolloutProgress progress = planner.progress();
			// An end that may have been reported is not changed.
			Optional<RolloutProgress> permitted = plan.change()
				.filter((change) -> progress == null || change.rollout() != progress.rollout()
						|| progress.state() == RolloutState.RUNNING || this.verified.contains(service));
			permitted.filter((change) -> !this.writing).ifPresent((change) -> {
				planner.onAttempt(change);
				store(change, plan.reason());
			});
			if (progress == null) {
				return;
			}
			plan.status()
				.map((state) -> endReported(progress) ? progress.state() : state)
				.ifPresent((state) -> want(service, new RolloutStatus(state, progress.target())));
			if (progress.state() == RolloutState.RUNNING || !endPublished(progress)) {
				// A rollback is in force before it is stored.
				RolloutProgress told = permitted.filter((change) -> change.state() == RolloutState.ROLLED_BACK)
					.orElse(progress);
				VersionShare share = new VersionShare(service, told.rollout(), told.target(), told.state().label(),
						plan.share(), told.revision());
				shares.add(share);
				logChange(share);
			}
		});
		checkStatuses(now);
		return shares;
	}

	private void logChange(VersionShare share) {
		if (!share.equals(this.logged.put(share.service(), share))) {
			this.log.write(LogEvent.ROLLOUT_SHARE, "service", share.service(), "target", share.target(), "state",
					share.state(), "share", share.share(), "revision", share.revision());
		}
	}

	// A failed write may still take effect. It is then read, and the next one fails since
	// it names an offset that is not the end any more.
	private void store(RolloutProgress change, String reason) {
		this.writing = true;
		long expectedEnd = this.end + 1;
		this.store.publishProgress(change, this.end).subscribe((done, failure) -> {
			if (failure == null) {
				this.writing = false;
				this.end = Math.max(this.end, expectedEnd);
				forgetLost(change);
				this.log.write(LogEvent.ROLLOUT_CHANGED, "service", change.service(), "target", change.target(),
						"state", change.state().label(), "step", change.step(), "revision", change.revision(),
						"elapsed_ms", change.elapsedMillis(), "sent", change.sent(), "requests", change.requests(),
						"reason", reason);
				this.metrics.add(Metric.ROLLOUT_CHANGES, 1, "service", change.service(), "state",
						change.state().label());
				this.onStored.accept(change);
			}
			else {
				this.log.write(LogEvent.STORE_LOST, "records", "rollouts", "reason", failure.getMessage());
				this.reactor.delayBackground(RETRY_MILLIS, () -> this.writing = false);
			}
		});
	}

	private void want(String service, RolloutStatus status) {
		if (!status.equals(this.wanted.put(service, status))) {
			this.verified.remove(service);
			this.nextCheckAt = 0;
		}
	}

	// Reads the reported states and reports those that differ.
	private void checkStatuses(long now) {
		if (this.checking || this.wanted.isEmpty() || now < this.nextCheckAt) {
			return;
		}
		this.checking = true;
		this.nextCheckAt = now + STATUS_CHECK_MILLIS;
		this.store.statuses().readLatest().subscribe((page, failure) -> {
			this.checking = false;
			if (failure != null) {
				this.nextCheckAt = Clocks.monotonicMillis() + RETRY_MILLIS;
				return;
			}
			this.wanted.replaceAll((service, status) -> statusWithReportedEnd(service, status,
					page.entries().getOrDefault(service, Optional.empty())));
			this.wanted.forEach((service, status) -> {
				if (page.entries().getOrDefault(service, Optional.empty()).equals(Optional.of(status))) {
					this.verified.add(service);
				}
				else if (this.owner) {
					this.verified.remove(service);
					publish(service, status);
				}
			});
			if (this.verified.containsAll(this.wanted.keySet())) {
				this.nextCheckAt = Clocks.monotonicMillis() + STATUS_RECHECK_MILLIS;
			}
		});
	}

	// Hosts that have not read the end of a rollout depend on its shares.
	private boolean endPublished(RolloutProgress progress) {
		return this.verified.contains(progress.service())
				&& new RolloutStatus(progress.state(), progress.target()).equals(this.wanted.get(progress.service()));
	}

	private boolean endReported(RolloutProgress progress) {
		return Long.valueOf(progress.rollout()).equals(this.reportedEnds.get(progress.service()));
	}

	// A new owner has no evidence yet, and would report a completed rollout as running.
	private RolloutStatus statusWithReportedEnd(String service, RolloutStatus status, Optional<RolloutStatus> read) {
		RolloutProgress progress = progress(service);
		if (progress == null || progress.state() == RolloutState.RUNNING
				|| !read.equals(Optional.of(new RolloutStatus(progress.state(), progress.target())))) {
			return status;
		}
		this.reportedEnds.put(service, progress.rollout());
		planner(service).onEndReported();
		return read.get();
	}

	private void publish(String service, RolloutStatus status) {
		this.store.publishStatus(service, status).subscribe((done, failure) -> {
			if (failure == null) {
				this.log.write(LogEvent.ROLLOUT_REPORTED, "service", service, "target", status.target(), "state",
						status.state().label());
			}
			this.nextCheckAt = Clocks.monotonicMillis() + ((failure != null) ? RETRY_MILLIS : 0);
		});
	}

	/**
	 * What serves. Immutable.
	 *
	 * @param accepting versions with an endpoint that accepts requests
	 * @param registered versions with an endpoint
	 * @param liveHosts ids of the live hosts
	 * @param longestStreamMillis longest time for which a stream of the service may run
	 */
	record Situation(Set<String> accepting, Set<String> registered, Set<String> liveHosts, long longestStreamMillis) {

		RolloutPlanner.Situation at(long wallMillis) {
			return new RolloutPlanner.Situation(this.accepting, this.registered, this.liveHosts,
					this.longestStreamMillis, wallMillis);
		}

	}

}
