package carawayswitch.rollout;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import carawayswitch.message.VersionEvidence;

/**
 * Decides on the rollout of one service, as the owner of the pools: begins it, sets the
 * share of the target, rolls it back and completes it. A change counts once it is stored,
 * except that the share of a target that has failed is 0 at once. Invariants:
 * <ul>
 * <li>A rollout that has ended stays in its state.</li>
 * <li>The share of the target stays within the exposure bound until the step before all
 * requests go to it, and from then on within what the bound leaves at the time limit,
 * unless time runs out.</li>
 * <li>A rollout is reported as completed only when nothing runs at other versions, also
 * after its time limit: their endpoints stop at once.</li>
 * </ul>
 * Times are monotonic milliseconds unless named otherwise. Not thread-safe.
 */
public final class RolloutPlanner {

	/** Shortest time for which all requests go to the target before it is completed. */
	private static final long MIN_FULL_MILLIS = 2000;

	/** Age up to which reports tell the present. */
	private static final long FRESH_MILLIS = 1000;

	/** Time for which a change that hosts know may be missing from the store. */
	private static final long UNSTORED_MILLIS = 1000;

	private static final String UNSTORED = "rolled back by the former owner";

	private final ExposureLimits limits;

	/** Name of the process of this host, as {@link RolloutProgress#author()}. */
	private final String process;

	private RolloutOrder order;

	private RolloutProgress progress;

	private EvidenceBook book = new EvidenceBook();

	private final RolloutClock clock = new RolloutClock();

	/**
	 * Time from which a host knows a later revision than the stored one, or a negative
	 * number.
	 */
	private long unstoredSince = -1;

	/**
	 * Time since this host decides at which it has adopted a change of another process,
	 * or a negative number if the latest change is its own.
	 */
	private long otherDecidedAt = -1;

	/** Latest change that this host has tried to store beside a rollback, or 0. */
	private long attempted;

	/** Whether the end of the rollout has been reported to the operators. */
	private boolean endReported;

	/** Why the target is rolled back, or empty. */
	private String fault = "";

	/**
	 * Creates a planner without an order.
	 * @param limits bounds of the deployment
	 * @param host id of this host
	 * @param incarnation incarnation number of its process
	 */
	public RolloutPlanner(ExposureLimits limits, String host, long incarnation) {
		this.limits = limits;
		this.process = EvidenceBook.processName(host, incarnation);
	}

	/**
	 * Replaces the order.
	 * @param newOrder the latest order
	 */
	public void order(RolloutOrder newOrder) {
		this.order = newOrder;
	}

	/**
	 * Returns the latest stored progress.
	 * @return the progress, or null if there is none
	 */
	public RolloutProgress progress() {
		return this.progress;
	}

	/**
	 * Takes over stored progress, unless a later one is known.
	 * @param stored the progress
	 * @param wallMillis wall-clock time in milliseconds
	 * @param now current time
	 */
	public void adopt(RolloutProgress stored, long wallMillis, long now) {
		if (this.progress != null && !this.progress.olderThan(stored)) {
			return;
		}
		boolean own = stored.author().equals(this.process);
		this.otherDecidedAt = (own || this.progress == null && this.attempted == 0) ? -1 : now;
		this.endReported = false;
		boolean sameRollout = this.progress != null && this.progress.rollout() == stored.rollout();
		boolean sameStep = sameRollout && this.progress.step() == stored.step();
		if (!sameRollout) {
			this.book = new EvidenceBook();
			this.fault = "";
		}
		this.clock.adopt(stored, sameRollout, sameStep, wallMillis, now);
		this.progress = stored;
		this.unstoredSince = -1;
		boolean nothingUnstored = this.fault.equals(UNSTORED) && this.book.latest().revision() <= stored.revision();
		if (nothingUnstored || !own && stored.state() == RolloutState.COMPLETED) {
			this.fault = "";
		}
	}

	/**
	 * Records that a change is being stored. It may take effect at any time from now on,
	 * also if no answer comes.
	 * @param change the change
	 */
	public void onAttempt(RolloutProgress change) {
		if (change.state() != RolloutState.ROLLED_BACK) {
			this.attempted = Math.max(this.attempted, change.revision());
		}
	}

	/**
	 * Records that the operators were told the end of the rollout, which is then final.
	 */
	public void onEndReported() {
		this.endReported = true;
	}

	/** Forgets the evidence, since another host decides now. */
	public void resign() {
		this.book = new EvidenceBook();
		this.fault = "";
	}

	/**
	 * Begins to decide on stored progress.
	 * @param now current time
	 */
	public void becomeOwner(long now) {
		this.clock.becomeOwner(now);
		this.otherDecidedAt = -1;
	}

	/**
	 * Handles the report of a host. Reports on other rollouts are ignored.
	 * @param host id of the host
	 * @param evidence its report
	 * @param now current time
	 */
	public void onEvidence(String host, VersionEvidence evidence, long now) {
		if (this.progress != null && evidence.rollout() == this.progress.rollout()) {
			this.book.put(host, evidence, now);
		}
	}

	/**
	 * Decides.
	 * @param situation what serves and which hosts are live
	 * @param now current time
	 * @return the decision
	 */
	public Plan plan(Situation situation, long now) {
		Plan plan = decide(situation, now);
		boolean rollback = plan.change().filter((change) -> change.state() == RolloutState.ROLLED_BACK).isPresent();
		return (rollback || !otherDecides(situation, now)) ? plan : plan.withoutChange();
	}

	// Two hosts may take themselves for the owner, and each sees only a part of the
	// evidence. A host that reads a change of the other one decides nothing more, except
	// a rollback, until that process reports to it as the owner, or has ended: it counts
	// as ended if it was silent for long and all live hosts report to this one.
	private boolean otherDecides(Situation situation, long now) {
		if (this.otherDecidedAt < 0 || this.book.reportedSince(this.progress.author(), this.otherDecidedAt)) {
			return false;
		}
		return now - this.otherDecidedAt < silentMillis() || !this.book.heardOf(situation.liveHosts, FRESH_MILLIS, now);
	}

	private Plan decide(Situation situation, long now) {
		if (this.order != null && (this.progress == null || !this.progress.serves(this.order))) {
			return new Plan(0, Optional.of(begin(situation)), Optional.empty(), "order");
		}
		if (this.progress == null) {
			return Plan.NOTHING;
		}
		return switch (this.progress.state()) {
			case ROLLED_BACK -> new Plan(0, Optional.empty(), Optional.of(RolloutState.ROLLED_BACK), "");
			case COMPLETED -> planCompleted(situation, now);
			case RUNNING -> planRunning(situation, now);
		};
	}

	// A target that has no other version beside it has nothing to replace.
	private RolloutProgress begin(Situation situation) {
		RolloutProgress begun = RolloutProgress.begin(this.order, this.progress, situation.registered,
				situation.wallMillis, this.process);
		boolean alone = situation.registered.equals(Set.of(this.order.target()));
		return alone
				? begun.change(RolloutState.COMPLETED, RolloutStep.FULL.ordinal(), new RolloutProgress.Moment(
						begun.revision() + 1, this.process, situation.wallMillis, 0, begun.replaced(), Map.of()))
				: begun;
	}

	// Until the end is reported, the old endpoints serve. A fault that was found while it
	// was being stored, and that hosts may have been told of, still counts.
	private Plan planCompleted(Situation situation, long now) {
		boolean rolledBackAtHosts = knownLater().filter(RolloutState.ROLLED_BACK::equals).isPresent();
		if (rolledBackAtHosts && this.endReported) {
			// Hosts that were told of a rollback would go on with endpoints that have
			// stopped.
			return new Plan(1,
					change(RolloutState.COMPLETED, RolloutStep.FULL, 1, situation, this.clock.elapsed(now), "")
						.change(),
					Optional.of(RolloutState.COMPLETED), "end was reported");
		}
		if (this.fault.isEmpty() && rolledBackAtHosts) {
			this.fault = UNSTORED;
		}
		if (!this.fault.isEmpty() && !this.endReported) {
			return change(RolloutState.ROLLED_BACK, RolloutStep.FULL, 0, situation, this.clock.elapsed(now),
					this.fault);
		}
		boolean idle = idleElsewhere(situation, now);
		this.endReported |= idle;
		return new Plan(1, Optional.empty(), Optional.of(idle ? RolloutState.COMPLETED : RolloutState.RUNNING), "");
	}

	private long silentMillis() {
		return RolloutSchedule.silentMillis(this.progress.durationMillis());
	}

	private boolean idleElsewhere(Situation situation, long now) {
		long silentMillis = silentMillis();
		return this.clock.collectsFor(silentMillis, now)
				&& this.book.idleElsewhere(situation.liveHosts, this.progress.revision(), silentMillis, now);
	}

	private Plan planRunning(Situation situation, long now) {
		long elapsed = this.clock.elapsed(now);
		RolloutSchedule schedule = RolloutSchedule.of(this.progress.durationMillis(), situation.longestStreamMillis);
		RolloutStep step = RolloutStep.of(this.progress.step());
		boolean serving = situation.accepting.contains(this.progress.target());
		if (serving) {
			this.clock.onServing(now);
		}
		EvidenceBook.Finding finding = this.book.judge(this.progress.target(), this.clock.inherits(now), now);
		if (this.fault.isEmpty() && finding.verdict() == FaultTest.Verdict.FAULTY) {
			this.fault = finding.reason();
		}
		Optional<RolloutState> unstored = unstored(now);
		if (this.fault.isEmpty() && unstored.filter(RolloutState.ROLLED_BACK::equals).isPresent()) {
			this.fault = UNSTORED;
		}
		boolean full = step == RolloutStep.FULL && serving;
		if (this.fault.isEmpty() && elapsed >= schedule.decideBy() && !full) {
			this.fault = "not far enough at the time limit";
		}
		if (!this.fault.isEmpty()) {
			return change(RolloutState.ROLLED_BACK, step, 0, situation, elapsed, this.fault);
		}
		if (unstored.isPresent()) {
			return change(unstored.get(), step, 0, situation, elapsed, "known to hosts");
		}
		if (this.unstoredSince >= 0) {
			return stay(0);
		}
		if (!this.book.heardOf(situation.liveHosts, FRESH_MILLIS, now) && this.clock.awaitsReports(now)) {
			return stay(0);
		}
		if (step == RolloutStep.FULL) {
			boolean doubtful = finding.verdict() == FaultTest.Verdict.SUSPECT && elapsed < schedule.latestDoubt();
			boolean idle = this.clock.inStep(now) >= MIN_FULL_MILLIS && !doubtful && idleElsewhere(situation, now);
			return (full && (idle || elapsed >= schedule.decideBy()))
					? change(RolloutState.COMPLETED, step, 1, situation, elapsed, "idle elsewhere") : stay(1);
		}
		TargetExposure exposure = exposure();
		double share = exposure.share(step, elapsed, schedule, this.clock.servingSince());
		boolean due = serving && this.clock.inStep(now) >= schedule.stepMillis(step, this.clock.servingSince());
		boolean last = elapsed >= schedule.latestFullAt();
		if (due && (last ? answered(exposure) : ready(step.next(), finding, exposure, elapsed, schedule))) {
			RolloutStep next = (last && exposure.fewRequests()) ? RolloutStep.FULL : step.next();
			return change(RolloutState.RUNNING, next, share, situation, elapsed, "step");
		}
		return exposure.unstored(this.progress)
				? change(RolloutState.RUNNING, step, share, situation, elapsed, "exposure") : stay(share);
	}

	// State after a later change than the stored one that hosts know for some time. A
	// rollback is told to hosts before it is stored, and the former owner may have died
	// in between. A step or an end was stored, but this host cannot read it, or the store
	// has lost it.
	private Optional<RolloutState> unstored(long now) {
		Optional<RolloutState> later = knownLater();
		if (later.isEmpty()) {
			this.unstoredSince = -1;
			return later;
		}
		this.unstoredSince = (this.unstoredSince < 0) ? now : this.unstoredSince;
		return (now - this.unstoredSince >= UNSTORED_MILLIS) ? later : Optional.empty();
	}

	private Optional<RolloutState> knownLater() {
		EvidenceBook.Known latest = this.book.latest();
		return (latest.revision() > this.progress.revision()) ? Optional.of(latest.state()) : Optional.empty();
	}

	// A target that has answered nothing although it was sent requests is not used.
	private boolean answered(TargetExposure exposure) {
		return this.book.ended(this.progress.target()) > 0 || exposure.sent() == 0;
	}

	private boolean ready(RolloutStep next, EvidenceBook.Finding finding, TargetExposure exposure, long elapsed,
			RolloutSchedule schedule) {
		boolean seen = this.book.ended(this.progress.target()) >= exposure.neededAnswers();
		return finding.verdict() == FaultTest.Verdict.SOUND && seen
				&& (next.bounded() || exposure.affordable(next, elapsed, schedule, this.clock.servingSince()));
	}

	private TargetExposure exposure() {
		return TargetExposure.of(this.limits, this.book, this.progress);
	}

	private Plan stay(double share) {
		return new Plan(share, Optional.empty(), Optional.of(RolloutState.RUNNING), "");
	}

	private Plan change(RolloutState state, RolloutStep step, double share, Situation situation, long elapsed,
			String reason) {
		Set<String> replaced = new HashSet<>(this.progress.replaced());
		replaced.addAll(situation.registered);
		replaced.remove(this.progress.target());
		replaced.removeAll(this.progress.retired());
		RolloutProgress changed = this.progress.change(state, step.ordinal(),
				new RolloutProgress.Moment(revision(state), this.process, situation.wallMillis, elapsed,
						Set.copyOf(replaced), exposure().processes()));
		return new Plan(share, Optional.of(changed), Optional.of(RolloutState.RUNNING), reason);
	}

	// A rollback overrules every other change that may take effect, and is told to hosts
	// with the same revision until it is stored.
	private long revision(RolloutState state) {
		EvidenceBook.Known latest = this.book.latest();
		if (state != RolloutState.ROLLED_BACK) {
			return Math.max(this.progress.revision(), latest.revision()) + 1;
		}
		long known = (latest.state() == RolloutState.ROLLED_BACK) ? latest.revision() : latest.revision() + 1;
		return Math.max(known, Math.max(this.progress.revision(), this.attempted) + 1);
	}

	/**
	 * What a decision depends on beside orders and evidence. Immutable.
	 *
	 * @param accepting versions with an endpoint that accepts requests
	 * @param registered versions with an endpoint
	 * @param liveHosts ids of the live hosts
	 * @param longestStreamMillis longest time for which a stream of the service may run
	 * @param wallMillis wall-clock time in milliseconds
	 */
	public record Situation(Set<String> accepting, Set<String> registered, Set<String> liveHosts,
			long longestStreamMillis, long wallMillis) {

	}

	/**
	 * A decision. Immutable.
	 *
	 * @param share share of new requests that the target gets until the next decision
	 * @param change progress to store
	 * @param status state to report to the operator
	 * @param reason why the progress changes
	 */
	public record Plan(double share, Optional<RolloutProgress> change, Optional<RolloutState> status, String reason) {

		/** Decision without an order. */
		static final Plan NOTHING = new Plan(0, Optional.empty(), Optional.empty(), "");

		Plan withoutChange() {
			return new Plan(this.share, Optional.empty(), this.status, this.reason);
		}

	}

}
