package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.config.Endpoint;
import carawayswitch.config.PressurePolicy;
import carawayswitch.config.Tier;
import carawayswitch.message.EndpointDigest;
import carawayswitch.outcome.ErrorKind;

/**
 * Decides what runs at one endpoint, what waits and what is refused. Times are
 * milliseconds on one clock. Invariants:
 * <ul>
 * <li>Protected work is refused or dropped only while no less urgent work is queued or
 * runs here, or after its deadline.</li>
 * <li>While protected work is at risk here or, as far as is known, elsewhere, less urgent
 * work is neither taken nor kept in the queue.</li>
 * <li>Work that cannot meet its deadline is dropped before it is dispatched.</li>
 * <li>At most the concurrency limit runs, and at most the KV cache's capacity is
 * promised.</li>
 * </ul>
 * Not safe for use by several threads.
 *
 * <pre>
 * Offer offer = scheduler.offer(work, now);
 * for (Work next = scheduler.next(now); next != null; next = scheduler.next(now)) {
 *     // dispatch
 * }
 * </pre>
 */
public final class EndpointScheduler {

	/**
	 * Share of the cost that less urgent work may receive while more urgent work waits.
	 */
	static final double LOW_URGENCY_COST_SHARE = 0.05;

	/** Wait of more urgent work in milliseconds above which the reserve is zero. */
	static final double LOW_URGENCY_MAX_BACKLOG_MILLIS = 300;

	/**
	 * Wait of protected work in milliseconds after which less urgent work is preempted.
	 */
	static final long PREEMPTION_DELAY_MILLIS = 150;

	/** Lowest urgency that may use all of the concurrency limit. */
	static final int MIN_FULL_LIMIT_URGENCY = 3;

	/** Service times that must fit before the deadline when work arrives. */
	static final double ADMISSION_MARGIN_FACTOR = 1.7;

	/** Service times that must fit before the deadline when work is dispatched. */
	static final double DISPATCH_MARGIN_FACTOR = 1.4;

	/** Share of its time that protected work must have left at most. */
	static final double PROTECTED_MAX_REQUIRED_SHARE = 0.8;

	/** Time in milliseconds for which work yields after it was told to. */
	static final long REMOTE_FLOOR_EXPIRY_MILLIS = 1500;

	private static final double LOW_URGENCY_LIMIT_SHARE = 0.85;

	private static final double STALL_FACTOR = 4;

	private static final double MAX_KV_UTILISATION = 0.95;

	private final String endpointId;

	private final boolean engine;

	private final QueueLimits queueLimits;

	private final int kvTokens;

	private final HierarchicalFairQueue queue = new HierarchicalFairQueue();

	private final Map<String, RunningAttempt> running = new HashMap<>();

	/** Work that cannot meet its deadline and has not been dropped yet. */
	private final Map<String, Work> infeasible = new LinkedHashMap<>();

	private final AimdConcurrencyLimit concurrencyLimit;

	private final EndpointSpeedEstimator speed = new EndpointSpeedEstimator();

	private final PrefixCacheEstimator prefixCache;

	private final int configuredConcurrency;

	private long reservedKvTokens;

	private final DeadlineRiskMonitor riskMonitor = new DeadlineRiskMonitor();

	/** Urgency below which work yields, since protected work is at risk here, or 0. */
	private int localUrgencyFloor;

	/** The same of other endpoints. */
	private final Map<String, RemoteUrgencyFloor> remoteUrgencyFloors = new HashMap<>();

	private double lowUrgencyCredit;

	private boolean draining;

	/**
	 * Creates a scheduler.
	 * @param endpointId id of the endpoint
	 * @param endpoint the endpoint
	 * @param engine true for an engine, false for a plain service
	 * @param queueLimits bounds of the queue
	 */
	public EndpointScheduler(String endpointId, Endpoint endpoint, boolean engine, QueueLimits queueLimits) {
		this.endpointId = endpointId;
		this.engine = engine;
		this.queueLimits = queueLimits;
		this.configuredConcurrency = endpoint.concurrency();
		this.kvTokens = endpoint.kvTokens();
		this.concurrencyLimit = new AimdConcurrencyLimit(endpoint.concurrency());
		this.prefixCache = new PrefixCacheEstimator(endpoint.kvTokens());
		this.draining = endpoint.leaving();
	}

	/**
	 * Queues work or refuses it.
	 * @param work the work
	 * @param now time in milliseconds
	 * @return the result
	 */
	public OfferResult offer(Work work, long now) {
		if (this.draining) {
			return OfferResult.rejected(ErrorKind.NO_ENDPOINT, 0);
		}
		double waitMillis = waitMillis(work);
		if (work.urgency() < urgencyFloor(now)) {
			return OfferResult.rejected(ErrorKind.OVERLOADED, (long) waitMillis);
		}
		boolean missesDeadline = now + waitMillis + requiredMillis(work, ADMISSION_MARGIN_FACTOR) > work
			.deadlineMillis();
		boolean overLimit = missesDeadline || waitMillis > this.queueLimits.maxWaitMillis();
		if (overLimit && mayShed(work)) {
			return OfferResult.rejected(missesDeadline ? ErrorKind.DEADLINE_CANNOT_BE_MET : ErrorKind.OVERLOADED,
					(long) waitMillis);
		}
		List<Work> dropped = new ArrayList<>();
		if (overLimit) {
			dropLessUrgent(work.urgency(), dropped);
		}
		if (!freeBytesFor(work, dropped)) {
			return OfferResult.rejected(ErrorKind.OVERLOADED, (long) waitMillis);
		}
		this.queue.add(work);
		this.riskMonitor.onQueued(work);
		return OfferResult.accepted(dropped);
	}

	private int urgencyFloor(long now) {
		int floor = this.localUrgencyFloor;
		for (RemoteUrgencyFloor remoteFloor : this.remoteUrgencyFloors.values()) {
			floor = Math.max(floor, (now < remoteFloor.expiresAtMillis()) ? remoteFloor.urgency() : 0);
		}
		return floor;
	}

	/**
	 * Tells whether protected work is at risk at another endpoint that serves the same,
	 * so that less urgent work yields here too. Holds until the next word of that
	 * endpoint, but not for long.
	 * @param endpointId id of the endpoint
	 * @param floor urgency below which work yields, or 0
	 * @param now time in milliseconds
	 */
	public void updateRemoteUrgencyFloor(String endpointId, int floor, long now) {
		if (floor > 0) {
			this.remoteUrgencyFloors.put(endpointId, new RemoteUrgencyFloor(floor, now + REMOTE_FLOOR_EXPIRY_MILLIS));
		}
		else {
			this.remoteUrgencyFloors.remove(endpointId);
		}
	}

	private boolean isPending(Work work) {
		return this.queue.containsInstance(work) || this.infeasible.get(work.id()) == work;
	}

	private boolean mayShed(Work work) {
		return work.pressure() != PressurePolicy.PROTECT || !hasLessUrgentWork(work.urgency());
	}

	private void dropLessUrgent(int urgency, List<Work> dropped) {
		for (Work lower = this.queue.dropCandidate(urgency); lower != null; lower = this.queue.dropCandidate(urgency)) {
			this.queue.remove(lower.id());
			dropped.add(lower);
		}
	}

	private boolean freeBytesFor(Work work, List<Work> dropped) {
		while (this.queue.bytes() + work.bytes() > this.queueLimits.maxBytes()) {
			Work candidate = this.queue.dropCandidate(work.urgency());
			if (candidate == null) {
				dropped.forEach(this.queue::add);
				dropped.clear();
				return false;
			}
			this.queue.remove(candidate.id());
			dropped.add(candidate);
		}
		return true;
	}

	private boolean hasLessUrgentWork(int urgency) {
		int lowest = lowestUrgency();
		return lowest >= 0 && lowest < urgency;
	}

	private int lowestUrgency() {
		int lowest = this.queue.lowestUrgency();
		for (RunningAttempt attempt : this.running.values()) {
			lowest = (lowest < 0) ? attempt.work.urgency() : Math.min(lowest, attempt.work.urgency());
		}
		return lowest;
	}

	private double waitMillis(Work work) {
		if (this.queue.size() == 0 && this.running.size() < concurrencyLimitFor(work.urgency())) {
			return 0;
		}
		return this.queue.costAhead(work) * this.speed.millisPerToken() / concurrencyLimit();
	}

	private double serviceMillis(Work work) {
		int uncachedTokens = work.promptTokens() - this.prefixCache.cachedTokens(work);
		return this.speed.serviceMillis(uncachedTokens, this.engine ? work.expectedTokens() : 1);
	}

	/**
	 * Takes the next work to dispatch. The caller must dispatch it and report its
	 * progress.
	 * @param now time in milliseconds
	 * @return the work, or null if nothing may be dispatched
	 */
	public Work next(long now) {
		while (true) {
			int urgency = selectUrgency();
			if (urgency < 0 || this.running.size() >= concurrencyLimitFor(urgency)) {
				return null;
			}
			Work work = this.queue.peek(urgency);
			if (deadlineInfeasible(work, now)) {
				moveToInfeasible(work);
				continue;
			}
			if (!fitsKvCache(work)) {
				return null;
			}
			this.queue.poll(urgency);
			recordDispatch(work, urgency, now);
			return work;
		}
	}

	/**
	 * Takes work that cannot meet its deadline out of the queue. Work that may not be
	 * shed yet is kept until it may be.
	 * @param work the work
	 */
	private void moveToInfeasible(Work work) {
		this.queue.remove(work.id());
		this.infeasible.put(work.id(), work);
	}

	private void recordDispatch(Work work, int urgency, long now) {
		int highest = this.queue.highestUrgency();
		if (highest > urgency) {
			this.lowUrgencyCredit -= work.cost();
		}
		else if (this.queue.lowestUrgency() >= 0 && this.queue.lowestUrgency() < urgency) {
			this.lowUrgencyCredit += work.cost() * LOW_URGENCY_COST_SHARE;
		}
		int cachedTokens = this.prefixCache.cachedTokens(work);
		this.prefixCache.onDispatched(work);
		this.running.put(work.id(), new RunningAttempt(work, now, work.promptTokens() - cachedTokens));
		this.reservedKvTokens += work.kvTokens();
	}

	private int selectUrgency() {
		int highest = this.queue.highestUrgency();
		int lowest = this.queue.lowestUrgency();
		if (highest <= lowest) {
			return highest;
		}
		double backlogMillis = this.queue.levelCost(highest) * this.speed.millisPerToken() / concurrencyLimit();
		for (int urgency = highest - 1; urgency >= lowest; urgency--) {
			Work work = this.queue.peek(urgency);
			if (work != null && backlogMillis < LOW_URGENCY_MAX_BACKLOG_MILLIS && this.lowUrgencyCredit >= work.cost()
					&& this.running.size() < concurrencyLimitFor(urgency)) {
				return urgency;
			}
		}
		return highest;
	}

	private boolean deadlineInfeasible(Work work, long now) {
		return now + requiredMillis(work, DISPATCH_MARGIN_FACTOR) > work.deadlineMillis();
	}

	/**
	 * Returns the time that must be left for work. Protected work is given a try while
	 * enough of its own time is left, however long its answer may be.
	 * @param work the work
	 * @param marginFactor number of service times
	 * @return time in milliseconds
	 */
	private double requiredMillis(Work work, double marginFactor) {
		double requiredMillis = serviceMillis(work) * marginFactor;
		boolean protectedWork = work.pressure() == PressurePolicy.PROTECT;
		double maxMillis = (work.deadlineMillis() - work.arrivalMillis()) * PROTECTED_MAX_REQUIRED_SHARE;
		return protectedWork ? Math.min(requiredMillis, maxMillis) : requiredMillis;
	}

	private boolean fitsKvCache(Work work) {
		boolean unlimited = this.kvTokens == 0 || this.running.isEmpty();
		return unlimited || this.reservedKvTokens + work.kvTokens() <= this.kvTokens * MAX_KV_UTILISATION;
	}

	private int concurrencyLimit() {
		return this.engine ? this.concurrencyLimit.limit() : this.configuredConcurrency;
	}

	private int concurrencyLimitFor(int urgency) {
		boolean fullLimit = urgency >= MIN_FULL_LIMIT_URGENCY || !this.engine;
		return fullLimit ? concurrencyLimit() : Math.max(1, (int) (concurrencyLimit() * LOW_URGENCY_LIMIT_SHARE));
	}

	/**
	 * Chooses running work to stop so that waiting protected work can start. The caller
	 * must stop it and call {@link #preempted}.
	 * @param now time in milliseconds
	 * @return the work, or null
	 */
	public Work selectPreemptionVictim(long now) {
		int urgency = this.queue.highestUrgency();
		Work head = (urgency >= 0) ? this.queue.peek(urgency) : null;
		boolean preemptionDue = head != null && head.pressure() == PressurePolicy.PROTECT
				&& now - head.arrivalMillis() >= PREEMPTION_DELAY_MILLIS;
		boolean saturated = this.running.size() >= concurrencyLimitFor(urgency) || head != null && !fitsKvCache(head);
		if (!preemptionDue || !saturated || this.running.values().stream().anyMatch((attempt) -> attempt.preempting)) {
			return null;
		}
		RunningAttempt victim = this.running.values()
			.stream()
			.filter((attempt) -> attempt.preemptibleBy(urgency))
			.min(Comparator.<RunningAttempt>comparingInt((attempt) -> attempt.work.urgency())
				.thenComparing((attempt) -> attempt.firstTokenAtMillis >= 0)
				.thenComparing(Comparator.comparingInt((RunningAttempt attempt) -> attempt.receivedTokens).reversed())
				.thenComparing((attempt) -> attempt.work.id()))
			.orElse(null);
		if (victim == null) {
			return null;
		}
		victim.preempting = true;
		return victim.work;
	}

	/**
	 * Puts preempted work back at the front of its queue.
	 * @param workId id of the work
	 * @param remaining the work with what remains of it
	 * @param now time in milliseconds
	 */
	public void preempted(String workId, Work remaining, long now) {
		RunningAttempt attempt = this.running.remove(workId);
		if (attempt != null) {
			this.reservedKvTokens -= attempt.work.kvTokens();
			this.queue.addFirst(remaining);
			this.riskMonitor.onQueued(remaining);
			this.concurrencyLimit.adjust(this.running.size(), now);
		}
	}

	/**
	 * Records that an answer made progress.
	 * @param workId id of the work
	 * @param tokens number of tokens received so far
	 * @param now time in milliseconds
	 */
	public void progressed(String workId, int tokens, long now) {
		RunningAttempt attempt = this.running.get(workId);
		if (attempt == null || tokens <= attempt.receivedTokens) {
			return;
		}
		if (attempt.firstTokenAtMillis < 0) {
			attempt.firstTokenAtMillis = now;
			long millis = now - attempt.dispatchedAtMillis;
			this.speed.onFirstToken(attempt.uncachedTokens, millis);
			this.concurrencyLimit.onFirstToken(millis);
		}
		else {
			int newTokens = tokens - attempt.receivedTokens;
			this.speed.onTokens(newTokens, now - attempt.lastTokenAtMillis);
			this.concurrencyLimit.onTokenInterval((double) (now - attempt.lastTokenAtMillis) / newTokens);
		}
		attempt.receivedTokens = tokens;
		attempt.lastTokenAtMillis = now;
		this.concurrencyLimit.adjust(this.running.size(), now);
	}

	/**
	 * Records that an attempt ended, in whatever way.
	 * @param workId id of the work
	 * @param now time in milliseconds
	 * @return the number of tokens received, or -1 if the work did not run
	 */
	public int finished(String workId, long now) {
		RunningAttempt attempt = this.running.remove(workId);
		if (attempt == null) {
			return -1;
		}
		this.reservedKvTokens -= attempt.work.kvTokens();
		if (!this.engine) {
			this.speed.onTokens(1, Math.max(1, now - attempt.dispatchedAtMillis));
		}
		double trueCost = 1 + attempt.work.promptTokens() * Work.PROMPT_TOKEN_COST + attempt.receivedTokens;
		this.queue.correctCharge(attempt.work, trueCost);
		this.concurrencyLimit.adjust(this.running.size(), now);
		return attempt.receivedTokens;
	}

	/**
	 * Removes work that has not been dispatched.
	 * @param workId id of the work
	 * @return true if the work was queued
	 */
	public boolean cancelQueued(String workId) {
		return this.queue.remove(workId) != null || this.infeasible.remove(workId) != null;
	}

	/**
	 * Returns and forgets work that was dropped because its deadline cannot be met.
	 * @param now time in milliseconds
	 * @return the dropped work
	 */
	public List<Work> takeExpired(long now) {
		for (int urgency = 0; urgency < Tier.URGENCY_COUNT; urgency++) {
			Work head = this.queue.peek(urgency);
			while (head != null && deadlineInfeasible(head, now)) {
				moveToInfeasible(head);
				head = this.queue.peek(urgency);
			}
		}
		this.localUrgencyFloor = this.riskMonitor.highestUrgencyAtRisk(this::isPending, now);
		int floor = urgencyFloor(now);
		List<Work> removed = new ArrayList<>();
		if (this.queue.lowestUrgency() >= 0 && this.queue.lowestUrgency() < floor) {
			this.queue.all().stream().filter((work) -> work.urgency() < floor).forEach(removed::add);
		}
		this.infeasible.values()
			.stream()
			.filter((work) -> now >= work.deadlineMillis() || mayShed(work) || work.urgency() < floor)
			.forEach(removed::add);
		removed.forEach((work) -> cancelQueued(work.id()));
		return removed;
	}

	/**
	 * Stops or resumes taking new work.
	 * @param draining true to refuse new work
	 */
	public void draining(boolean draining) {
		this.draining = draining;
	}

	/**
	 * Returns all queued work, for refusal when the endpoint goes away.
	 * @return queued work
	 */
	public List<Work> queued() {
		List<Work> queued = this.queue.all();
		queued.addAll(this.infeasible.values());
		return queued;
	}

	/**
	 * Returns the number of attempts that run.
	 * @return number of attempts
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * Describes the load for hosts that choose among endpoints.
	 * @param now time in milliseconds
	 * @return the load
	 */
	public EndpointDigest digest(long now) {
		double millisPerToken = effectiveMillisPerToken(now);
		List<Integer> queued = new ArrayList<>(Tier.URGENCY_COUNT);
		for (int urgency = 0; urgency < Tier.URGENCY_COUNT; urgency++) {
			queued.add((int) (this.queue.levelCost(urgency) * millisPerToken / concurrencyLimit()));
		}
		return new EndpointDigest(this.endpointId, queued, this.running.size(), lowestUrgency(), concurrencyLimit(),
				this.draining, millisPerToken, this.speed.prefillMillis(1), this.localUrgencyFloor);
	}

	private double effectiveMillisPerToken(long now) {
		double idleMillis = this.running.values()
			.stream()
			.filter((attempt) -> attempt.firstTokenAtMillis >= 0)
			.mapToLong((attempt) -> now - attempt.lastTokenAtMillis)
			.average()
			.orElse(0);
		double smoothedMillis = this.speed.millisPerToken();
		return (idleMillis > smoothedMillis * STALL_FACTOR) ? idleMillis : smoothedMillis;
	}

	/**
	 * Urgency below which work yields to another endpoint's. Immutable.
	 *
	 * @param urgency the urgency
	 * @param expiresAtMillis time until which this holds in milliseconds
	 */
	private record RemoteUrgencyFloor(int urgency, long expiresAtMillis) {

	}

	/**
	 * Bounds of a queue. Immutable.
	 *
	 * @param maxBytes bytes of queued bodies
	 * @param maxWaitMillis estimated wait in milliseconds above which work is refused
	 */
	public record QueueLimits(long maxBytes, long maxWaitMillis) {

	}

}
