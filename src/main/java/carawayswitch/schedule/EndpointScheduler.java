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
 * Admission control, queueing, dispatch and preemption for one endpoint. Times are in
 * milliseconds on one clock. Invariants:
 * <ul>
 * <li>Protected work is rejected or shed only while no less urgent work is queued or runs
 * at this endpoint, or after its deadline.</li>
 * <li>While protected work is at risk of missing its deadline, at this endpoint or
 * according to the digests of other endpoints, less urgent work is neither admitted nor
 * kept in the queue.</li>
 * <li>Work that cannot meet its deadline is shed before it is dispatched.</li>
 * <li>The number of running attempts does not exceed the concurrency limit, and the
 * tokens reserved for them do not exceed the capacity of the KV cache.</li>
 * </ul>
 * Not thread-safe.
 *
 * <pre>
 * OfferResult result = scheduler.offer(work, now);
 * for (Work next = scheduler.next(now); next != null; next = scheduler.next(now)) {
 *     // dispatch
 * }
 * </pre>
 */
public final class EndpointScheduler {

	/**
	 * Cost that less urgent work may use while more urgent work waits, as a share of the
	 * cost of the more urgent work that was dispatched before it.
	 */
	static final double LOW_URGENCY_COST_SHARE = 0.05;

	/**
	 * Backlog of the most urgent work, in milliseconds, at and above which less urgent
	 * work gets no share.
	 */
	static final double LOW_URGENCY_MAX_BACKLOG_MILLIS = 300;

	/**
	 * Wait of protected work, in milliseconds, after which it may preempt less urgent
	 * work.
	 */
	static final long PREEMPTION_DELAY_MILLIS = 150;

	/** Lowest urgency that may use the full concurrency limit of an engine. */
	static final int MIN_FULL_LIMIT_URGENCY = 3;

	/**
	 * Multiple of the estimated service time that must remain before the deadline, after
	 * the estimated wait, for work to be admitted.
	 */
	static final double ADMISSION_MARGIN_FACTOR = 1.7;

	/**
	 * Multiple of the estimated service time that must remain before the deadline for
	 * work to be dispatched.
	 */
	static final double DISPATCH_MARGIN_FACTOR = 1.4;

	/**
	 * Upper bound of the time that must remain for protected work, as a share of its time
	 * from arrival to deadline.
	 */
	static final double PROTECTED_MAX_REQUIRED_SHARE = 0.8;

	/**
	 * Time in milliseconds after which another endpoint's urgency floor expires unless it
	 * is renewed.
	 */
	static final long REMOTE_FLOOR_EXPIRY_MILLIS = 1500;

	/** Share of an engine's concurrency limit that is open to less urgent work. */
	private static final double LOW_URGENCY_LIMIT_SHARE = 0.85;

	/**
	 * Multiple of the usual time per token after which running answers count as stalled.
	 */
	private static final double STALL_FACTOR = 4;

	/** Share of the KV cache's capacity that may be reserved. */
	private static final double MAX_KV_UTILISATION = 0.95;

	private final String endpointId;

	private final boolean engine;

	private final QueueLimits queueLimits;

	private final int kvTokens;

	private final HierarchicalFairQueue queue = new HierarchicalFairQueue();

	private final Map<String, RunningAttempt> running = new HashMap<>();

	/** Work that cannot meet its deadline and has not been shed yet, by id. */
	private final Map<String, Work> infeasible = new LinkedHashMap<>();

	private final AimdConcurrencyLimit concurrencyLimit;

	private final EndpointSpeedEstimator speed = new EndpointSpeedEstimator();

	private final PrefixCacheEstimator prefixCache;

	private final int configuredConcurrency;

	private long reservedKvTokens;

	private final DeadlineRiskMonitor riskMonitor = new DeadlineRiskMonitor();

	/**
	 * Highest urgency of protected work that is at risk at this endpoint, or 0; work
	 * below it is shed.
	 */
	private int localUrgencyFloor;

	/** Urgency floors that other endpoints have reported, by endpoint id. */
	private final Map<String, RemoteUrgencyFloor> remoteUrgencyFloors = new HashMap<>();

	/** Cost of less urgent work that may be dispatched ahead of more urgent work. */
	private double lowUrgencyCredit;

	private boolean draining;

	/**
	 * Creates a scheduler with an empty queue.
	 * @param endpointId id of the endpoint
	 * @param endpoint configuration of the endpoint
	 * @param engine true for an engine that generates tokens, false for a plain service
	 * @param queueLimits limits of the queue
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
	 * Queues or rejects work. Less urgent work may be shed in favour of it.
	 * @param work the new work
	 * @param now current time in milliseconds
	 * @return whether the work was queued, and the work that was shed
	 */
	public OfferResult offer(Work work, long now) {
		if (this.draining) {
			return OfferResult.rejected(ErrorKind.NO_ENDPOINT, 0);
		}
		double waitMillis = waitMillis(work);
		if (work.urgency() < urgencyFloor(now)) {
			return OfferResult.rejected(ErrorKind.OVERLOADED, (long) waitMillis);
		}
		boolean tooLate = now + waitMillis + requiredMillis(work, ADMISSION_MARGIN_FACTOR) > work.deadlineMillis();
		boolean overLimit = tooLate || waitMillis > this.queueLimits.maxWaitMillis();
		if (overLimit && mayShed(work)) {
			return OfferResult.rejected(tooLate ? ErrorKind.DEADLINE_CANNOT_BE_MET : ErrorKind.OVERLOADED,
					(long) waitMillis);
		}
		List<Work> shedWork = new ArrayList<>();
		if (overLimit) {
			shedLessUrgent(work.urgency(), shedWork);
		}
		if (!freeBytesFor(work, shedWork)) {
			return OfferResult.rejected(ErrorKind.OVERLOADED, (long) waitMillis);
		}
		this.queue.add(work);
		this.riskMonitor.onQueued(work);
		return OfferResult.accepted(shedWork);
	}

	/**
	 * Returns the urgency below which work is neither admitted nor kept in the queue.
	 * @param now current time in milliseconds
	 * @return highest active floor of this and the other endpoints, or 0
	 */
	private int urgencyFloor(long now) {
		int floor = this.localUrgencyFloor;
		for (RemoteUrgencyFloor remoteFloor : this.remoteUrgencyFloors.values()) {
			floor = Math.max(floor, (now < remoteFloor.expiresAtMillis()) ? remoteFloor.urgency() : 0);
		}
		return floor;
	}

	/**
	 * Records the urgency floor of another endpoint of the same service. While protected
	 * work is at risk there, less urgent work is shed here too. The floor is valid until
	 * the next report of that endpoint, and at most for
	 * {@link #REMOTE_FLOOR_EXPIRY_MILLIS}.
	 * @param endpointId id of the other endpoint
	 * @param floor urgency below which work is shed, or 0 if no work is at risk
	 * @param now current time in milliseconds
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

	private void shedLessUrgent(int urgency, List<Work> shedWork) {
		for (Work next = this.queue.shedCandidate(urgency); next != null; next = this.queue.shedCandidate(urgency)) {
			this.queue.remove(next.id());
			shedWork.add(next);
		}
	}

	/**
	 * Sheds less urgent work until the bytes of new work fit in the queue. If they cannot
	 * fit, all shed work is queued again.
	 * @param work the new work
	 * @param shedWork receives the work that was shed
	 * @return true if the new work fits
	 */
	private boolean freeBytesFor(Work work, List<Work> shedWork) {
		while (this.queue.bytes() + work.bytes() > this.queueLimits.maxBytes()) {
			Work candidate = this.queue.shedCandidate(work.urgency());
			if (candidate == null) {
				shedWork.forEach(this.queue::add);
				shedWork.clear();
				return false;
			}
			this.queue.remove(candidate.id());
			shedWork.add(candidate);
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
	 * Removes the next work to dispatch from the queue. The caller must dispatch it and
	 * report its progress.
	 * @param now current time in milliseconds
	 * @return the work, or null if no work may be dispatched now
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
	 * Moves work that cannot meet its deadline out of the queue. It is kept aside until
	 * it may be shed.
	 * @param work the queued work
	 */
	private void moveToInfeasible(Work work) {
		this.queue.remove(work.id());
		this.infeasible.put(work.id(), work);
	}

	/**
	 * Accounts for dispatched work. Work dispatched ahead of more urgent work uses
	 * credit; work dispatched while less urgent work waits earns credit for it.
	 * @param work the dispatched work
	 * @param urgency urgency of the work
	 * @param now current time in milliseconds
	 */
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

	/**
	 * Selects the urgency to dispatch from: the highest, unless less urgent work has
	 * enough credit and the backlog of the highest is short.
	 * @return the urgency, or -1 if the queue is empty
	 */
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
	 * Returns the time that must remain before the deadline for work to be feasible. For
	 * protected work it is capped at a share of the work's own time, so that protected
	 * work is attempted even if its answer is expected to take too long.
	 * @param work the work
	 * @param marginFactor multiple of the estimated service time
	 * @return the time in milliseconds
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
	 * Selects running work to preempt so that waiting protected work can start. Selects
	 * the least urgent work, and within an urgency work without a first token first, then
	 * the work that has received the most tokens. The caller must stop the attempt and
	 * call {@link #onPreempted}. At most one preemption is in progress at a time.
	 * @param now current time in milliseconds
	 * @return the work to stop, or null if no work must or may be preempted
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
	 * Puts preempted work back at the head of its queue. Does nothing if the work does
	 * not run.
	 * @param workId id of the preempted work
	 * @param remaining work that covers the rest of the request
	 * @param now current time in milliseconds
	 */
	public void onPreempted(String workId, Work remaining, long now) {
		RunningAttempt attempt = this.running.remove(workId);
		if (attempt != null) {
			this.reservedKvTokens -= attempt.work.kvTokens();
			this.queue.addFirst(remaining);
			this.riskMonitor.onQueued(remaining);
			this.concurrencyLimit.adjust(this.running.size(), now);
		}
	}

	/**
	 * Records the progress of an answer. Ignored if the work does not run or no new
	 * tokens were received.
	 * @param workId id of the running work
	 * @param tokens total number of tokens received so far
	 * @param now current time in milliseconds
	 */
	public void onProgress(String workId, int tokens, long now) {
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
	 * Records the end of an attempt, whatever its result.
	 * @param workId id of the running work
	 * @param now current time in milliseconds
	 * @return the number of tokens received, or -1 if the work did not run
	 */
	public int onEnded(String workId, long now) {
		RunningAttempt attempt = this.running.remove(workId);
		if (attempt == null) {
			return -1;
		}
		this.reservedKvTokens -= attempt.work.kvTokens();
		if (!this.engine) {
			this.speed.onTokens(1, Math.max(1, now - attempt.dispatchedAtMillis));
		}
		double actualCost = 1 + attempt.work.promptTokens() * Work.PROMPT_TOKEN_COST + attempt.receivedTokens;
		this.queue.correctCharge(attempt.work, actualCost);
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
	 * Removes and returns work to be shed: work that cannot meet its deadline and may be
	 * shed, and work below the urgency floor. Also updates the urgency floor of this
	 * endpoint.
	 * @param now current time in milliseconds
	 * @return the removed work
	 */
	public List<Work> takeShedWork(long now) {
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
	 * Starts or stops draining.
	 * @param draining true to reject new work
	 */
	public void draining(boolean draining) {
		this.draining = draining;
	}

	/**
	 * Returns all work that has not been dispatched, to be rejected when the endpoint is
	 * removed.
	 * @return the pending work
	 */
	public List<Work> queued() {
		List<Work> queued = this.queue.all();
		queued.addAll(this.infeasible.values());
		return queued;
	}

	/**
	 * Returns the number of running attempts.
	 * @return number of attempts
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * Returns a digest of the load, for hosts that choose among endpoints.
	 * @param now current time in milliseconds
	 * @return the digest
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

	/**
	 * Returns the time per token, or the average time since the last token if running
	 * answers have stalled.
	 * @param now current time in milliseconds
	 * @return the time in milliseconds
	 */
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
	 * Urgency floor that another endpoint has reported. Immutable.
	 *
	 * @param urgency urgency below which work is shed
	 * @param expiresAtMillis time in milliseconds at which the floor expires
	 */
	private record RemoteUrgencyFloor(int urgency, long expiresAtMillis) {

	}

	/**
	 * Limits of a queue. Immutable.
	 *
	 * @param maxBytes maximum total size of queued request bodies, in bytes
	 * @param maxWaitMillis estimated wait in milliseconds above which work is rejected
	 */
	public record QueueLimits(long maxBytes, long maxWaitMillis) {

	}

}
