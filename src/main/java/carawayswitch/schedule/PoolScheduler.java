package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import carawayswitch.config.Tier;

/**
 * Decides for all engines of one service what runs where, what waits and what is refused.
 * Engines admit in order of arrival, so that work waits here, by urgency, then fairly by
 * kind and organisation. Work that can still be on time goes before work of the same
 * urgency that cannot. Invariants:
 * <ul>
 * <li>No engine is given more work than it has slots, nor more than fits its memory.</li>
 * <li>Work waits only while more urgent work could not use its place.</li>
 * <li>Each offered demand gets one decision unless it is withdrawn.</li>
 * </ul>
 * Times are milliseconds. Not safe for use by several threads.
 *
 * <pre>
 * scheduler.engines(engines, now);
 * scheduler.offer(demand, now);
 * scheduler.decide(now).forEach((decision) -&gt; reply(decision));
 * </pre>
 */
public final class PoolScheduler {

	/**
	 * Share of the slots that is kept free for each step of higher urgency; bursts of
	 * urgent work come faster than slots become free.
	 */
	static final double RESERVED_SLOTS_SHARE = 0.03;

	/** Time in milliseconds for which an urgency counts as in use after its last work. */
	static final long URGENCY_ACTIVE_MILLIS = 15_000;

	/** Share of the time that is left which a wait may take before work is refused. */
	static final double MAX_WAIT_SHARE = 0.8;

	/** Allowance for the way to the engine and back, in milliseconds. */
	static final double ROUND_TRIP_MILLIS = 10;

	/**
	 * Time beyond the expected first event, as a multiple, after which an engine is
	 * suspected.
	 */
	static final double OVERDUE_FACTOR = 3;

	/** Time in milliseconds that is added to it. */
	static final double OVERDUE_MARGIN_MILLIS = 700;

	/** Cost of crossing availability zones in milliseconds. */
	static final double CROSS_ZONE_COST_MILLIS = 4;

	/**
	 * Time in milliseconds over which the demand of an urgency is averaged; bursts last
	 * seconds.
	 */
	static final double DEMAND_AVERAGING_MILLIS = 1500;

	/**
	 * Part of the engines' time that work of an urgency gets for each part that more
	 * urgent work gets while both wait, so that no kind starves.
	 */
	static final double LOWER_URGENCY_SHARE = 0.2;

	/** Largest credit of an urgency, in milliseconds of a slot. */
	static final double MAX_CREDIT_MILLIS = 3000;

	/**
	 * Largest advised wait as a part of the time that the client has left; clients ignore
	 * advice beyond a third of it.
	 */
	static final double MAX_RETRY_AFTER_SHARE = 0.32;

	/** Most of an objective that the time to a first event takes when work is judged. */
	static final double MAX_FIRST_EVENT_SHARE = 0.6;

	/**
	 * Factor on an estimated wait; what comes meanwhile and is more urgent adds to it.
	 */
	static final double WAIT_ESTIMATE_FACTOR = 1.4;

	/** Time in milliseconds for which a refused request is remembered. */
	static final long REJECTION_RETENTION_MILLIS = 12_000;

	private static final int MAX_REJECTIONS = 10_000;

	/** Shortest advised wait in milliseconds. */
	static final long MIN_RETRY_AFTER_MILLIS = 100;

	/**
	 * Time in milliseconds between two looks at all that waits and runs for what is
	 * overdue; objectives are some hundred milliseconds.
	 */
	static final long SCAN_INTERVAL_MILLIS = 10;

	private static final double MAX_KV_SHARE = 0.95;

	private final Map<String, EngineState> engines = new LinkedHashMap<>();

	private final WaitingQueue onTimeQueue = new WaitingQueue();

	/** Waiting work that can no longer be on time. */
	private final WaitingQueue lateQueue = new WaitingQueue();

	private final Map<String, PoolRequest> waiting = new HashMap<>();

	private final Map<String, RunningAttempt> running = new HashMap<>();

	/** Requests that were refused, by return key, with the time of the refusal. */
	private final Map<String, Long> rejectedAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REJECTIONS;
		}
	};

	private final double[] demandMillis = new double[Tier.URGENCY_COUNT];

	private final double[] creditMillis = new double[Tier.URGENCY_COUNT];

	private long demandUpdatedAt;

	private final long[] urgencyLastOfferedAt = new long[Tier.URGENCY_COUNT];

	/**
	 * What the engines can do at {@link #capacityComputedAt}, which many decisions ask
	 * for.
	 */
	private Capacity capacity;

	private long capacityComputedAt = Long.MIN_VALUE;

	private long lastScanAt = Long.MIN_VALUE / 2;

	private final List<PoolDecision> undeliveredRejections = new ArrayList<>();

	/** Creates a scheduler without engines. */
	public PoolScheduler() {
		Arrays.fill(this.urgencyLastOfferedAt, Long.MIN_VALUE / 2);
	}

	/**
	 * Replaces the engines that accept work. What runs on others is still accounted for.
	 * @param acceptingEngines the engines
	 */
	public void engines(Collection<PoolEngine> acceptingEngines) {
		invalidateCapacity();
		Set<String> ids = new HashSet<>();
		for (PoolEngine engine : acceptingEngines) {
			ids.add(engine.id());
			this.engines.computeIfAbsent(engine.id(), (id) -> new EngineState()).engine = engine;
		}
		this.engines.forEach((id, state) -> state.accepting = ids.contains(id));
		this.engines.values().removeIf((state) -> !state.accepting && state.running.isEmpty());
	}

	/**
	 * Offers a demand. Its decision comes from {@link #decide}. One that is known already
	 * is ignored. A demand that can be on time waits in turn. One that cannot waits only
	 * where a place is in sight, before others of its organisation if it was refused
	 * before and has come back, and is refused at once otherwise.
	 * @param request the demand
	 * @param now time in milliseconds
	 */
	public void offer(PoolRequest request, long now) {
		Work work = request.work();
		if (this.waiting.containsKey(request.id()) || this.running.containsKey(request.id())) {
			return;
		}
		this.urgencyLastOfferedAt[work.urgency()] = now;
		if (capacity(now).usableSlots == 0) {
			reject(request, EndpointHealth.INITIAL_BACKOFF_MILLIS, "no_engine", now);
			return;
		}
		boolean isRetry = removeRejection(request, now);
		if (!isRetry) {
			decayDemand(now);
			this.demandMillis[work.urgency()] += occupancyMillis(work, now);
		}
		double waitMillis = estimateWaitMillis(work, this.onTimeQueue, now);
		double lateWaitMillis = waitMillis + estimateWaitMillis(work, this.lateQueue, now);
		double maxWaitMillis = (work.deadlineMillis() - now) * MAX_WAIT_SHARE;
		boolean onTime = now + waitMillis * WAIT_ESTIMATE_FACTOR + firstEventReserveMillis(request, now) <= request
			.objectiveAt();
		if (onTime) {
			enqueue(this.onTimeQueue, request, false);
		}
		else if (lateWaitMillis < maxWaitMillis && !overloaded(work.urgency(), now)) {
			enqueue(this.lateQueue, request, isRetry);
		}
		else {
			reject(request, retryAfterMillis(request, lateWaitMillis, now),
					"wait_" + (long) waitMillis + "_late_" + (long) lateWaitMillis, now);
		}
	}

	/**
	 * Returns whether new work of an urgency would have to wait.
	 * @param urgency the urgency
	 * @param now time in milliseconds
	 * @return true if no engine has room for it
	 */
	public boolean saturated(int urgency, long now) {
		return !this.waiting.isEmpty() || capacity(now).freeSlots <= reservedSlots(urgency, now);
	}

	private void enqueue(WaitingQueue queue, PoolRequest request, boolean atHead) {
		if (atHead) {
			queue.addFirst(request.work());
		}
		else {
			queue.add(request.work());
		}
		this.waiting.put(request.id(), request);
	}

	private boolean overloaded(int urgency, long now) {
		return offeredLoad(urgency, now) >= 1;
	}

	// While demand exceeds what the engines can do, a client that may come back once has
	// the best chance late.
	private long retryAfterMillis(PoolRequest request, double waitMillis, long now) {
		double maxMillis = Math.max(0, request.clientDeadlineAt() - now) * MAX_RETRY_AFTER_SHARE;
		double wantedMillis = overloaded(request.work().urgency(), now) ? maxMillis : waitMillis;
		return Math.max(MIN_RETRY_AFTER_MILLIS, (long) Math.min(maxMillis, wantedMillis));
	}

	private void reject(PoolRequest request, long retryAfterMillis, String reason, long now) {
		if (!request.returnKey().isEmpty()) {
			this.rejectedAt.put(request.returnKey(), now);
		}
		this.undeliveredRejections.add(new PoolDecision(request, null, retryAfterMillis, reason));
	}

	private boolean removeRejection(PoolRequest request, long now) {
		Long rejectionTime = this.rejectedAt.remove(request.returnKey());
		return rejectionTime != null && now - rejectionTime < REJECTION_RETENTION_MILLIS;
	}

	private void decayDemand(long now) {
		double factor = Math.exp(-Math.max(0, now - this.demandUpdatedAt) / DEMAND_AVERAGING_MILLIS);
		for (int i = 0; i < this.demandMillis.length; i++) {
			this.demandMillis[i] *= factor;
		}
		this.demandUpdatedAt = now;
	}

	// Part of the engines' time that recent work of this urgency and above asks for.
	private double offeredLoad(int urgency, long now) {
		decayDemand(now);
		double sumMillis = 0;
		for (int i = urgency; i < this.demandMillis.length; i++) {
			sumMillis += this.demandMillis[i];
		}
		return sumMillis / DEMAND_AVERAGING_MILLIS / Math.max(1, capacity(now).effectiveSlots);
	}

	// Time that the work occupies a slot of the fastest engine when its slots are taken.
	private double occupancyMillis(Work work, long now) {
		EngineState fastest = capacity(now).fastest;
		return (fastest != null) ? fastest.speed.firstEventMillis(work.promptTokens())
				+ fastest.speed.streamMillis(work.expectedTokens(), 1, 1) : 0;
	}

	private Capacity capacity(long now) {
		if (this.capacity == null || now != this.capacityComputedAt) {
			this.capacityComputedAt = now;
			this.capacity = new Capacity(this.engines.values(), now);
		}
		return this.capacity;
	}

	private void invalidateCapacity() {
		this.capacity = null;
	}

	// Time that must be left for a first event on time. A prompt that no engine reads in
	// time
	// is given the chance of the others: large requests are served as small ones are.
	private double firstEventReserveMillis(PoolRequest request, long now) {
		EngineState fastest = capacity(now).fastest;
		double firstEventMillis = (fastest != null) ? fastest.speed.firstEventMillis(request.work().promptTokens()) : 0;
		return Math.min(firstEventMillis,
				(request.objectiveAt() - request.work().arrivalMillis()) * MAX_FIRST_EVENT_SHARE);
	}

	// Time until work would start if all work of a queue that goes before it were served
	// first. Other organisations go before it no more than its own does.
	private double estimateWaitMillis(Work work, WaitingQueue queue, long now) {
		int urgency = work.urgency();
		Capacity current = capacity(now);
		if (queue == this.onTimeQueue && this.waiting.isEmpty() && current.freeSlots > reservedSlots(urgency, now)) {
			return 0;
		}
		double aheadMillis = 0;
		for (int higher = urgency + 1; higher < Tier.URGENCY_COUNT; higher++) {
			aheadMillis += queue.backlog(higher).slotMillis(current.speed());
		}
		double ownMillis = queue.backlog(urgency, work.organisation()).slotMillis(current.speed())
				+ occupancyMillis(work, now);
		for (Map.Entry<String, WaitingQueue.Backlog> entry : queue.backlogByOrganisation(urgency).entrySet()) {
			double organisationMillis = entry.getValue().slotMillis(current.speed());
			aheadMillis += entry.getKey().equals(work.organisation()) ? organisationMillis
					: Math.min(organisationMillis, ownMillis);
		}
		double higher = (urgency < Tier.HIGHEST_URGENCY) ? offeredLoad(urgency + 1, now) : 0;
		return aheadMillis / Math.max(1, current.effectiveSlots) / Math.max(LOWER_URGENCY_SHARE, 1 - higher);
	}

	// Returns the slots that work of an urgency must leave free for more urgent work.
	private int reservedSlots(int urgency, long now) {
		int activeHigherUrgencies = 0;
		for (int higher = urgency + 1; higher < Tier.URGENCY_COUNT; higher++) {
			activeHigherUrgencies += (now - this.urgencyLastOfferedAt[higher] < URGENCY_ACTIVE_MILLIS) ? 1 : 0;
		}
		return (int) Math.round(capacity(now).usableSlots * RESERVED_SLOTS_SHARE * activeHigherUrgencies);
	}

	/**
	 * Decides what can be decided now.
	 * @param now time in milliseconds
	 * @return grants and refusals
	 */
	public List<PoolDecision> decide(long now) {
		if (now - this.lastScanAt >= SCAN_INTERVAL_MILLIS) {
			this.lastScanAt = now;
			suspectOverdueEngines(now);
			expireWaiting(now);
		}
		List<PoolDecision> decisions = new ArrayList<>(this.undeliveredRejections);
		this.undeliveredRejections.clear();
		dispatchCredited(now, decisions);
		for (int urgency = Tier.HIGHEST_URGENCY; urgency >= 0; urgency--) {
			if (!dispatchAll(this.onTimeQueue, urgency, now, decisions)
					|| !dispatchAll(this.lateQueue, urgency, now, decisions)) {
				break;
			}
		}
		return decisions;
	}

	// Starts work that more urgent work has kept waiting beyond its share.
	private void dispatchCredited(long now, List<PoolDecision> decisions) {
		for (int urgency = Tier.HIGHEST_URGENCY - 1; urgency >= 0; urgency--) {
			Work work = this.onTimeQueue.peek(urgency);
			while (work != null && this.creditMillis[urgency] >= occupancyMillis(work, now)
					&& dispatchNext(this.onTimeQueue, work, now, decisions)) {
				work = this.onTimeQueue.peek(urgency);
			}
		}
	}

	// Starts waiting work of one urgency. Returns true if no more of it waits, so that
	// less urgent work may start.
	private boolean dispatchAll(WaitingQueue queue, int urgency, long now, List<PoolDecision> decisions) {
		for (Work work = queue.peek(urgency); work != null; work = queue.peek(urgency)) {
			if (capacity(now).freeSlots <= reservedSlots(urgency, now) || !dispatchNext(queue, work, now, decisions)) {
				return false;
			}
		}
		return true;
	}

	private boolean dispatchNext(WaitingQueue queue, Work work, long now, List<PoolDecision> decisions) {
		PoolRequest request = this.waiting.get(work.id());
		EngineState engine = chooseEngine(request, now);
		if (engine == null) {
			return false;
		}
		queue.poll(work.urgency());
		removeWaiting(work.id());
		transferCredit(work, occupancyMillis(work, now));
		decisions.add(dispatch(request, engine, now));
		return true;
	}

	// Work that starts pays for itself and earns credit for less urgent work that waits.
	private void transferCredit(Work work, double occupancyMillis) {
		this.creditMillis[work.urgency()] = Math.max(0, this.creditMillis[work.urgency()] - occupancyMillis);
		for (int lower = 0; lower < work.urgency(); lower++) {
			if (this.onTimeQueue.peek(lower) != null) {
				this.creditMillis[lower] = Math.min(MAX_CREDIT_MILLIS,
						this.creditMillis[lower] + occupancyMillis * LOWER_URGENCY_SHARE);
			}
		}
	}

	private EngineState chooseEngine(PoolRequest request, long now) {
		EngineState best = null;
		double bestCostMillis = Double.MAX_VALUE;
		boolean alternativeUsable = this.engines.values()
			.stream()
			.anyMatch((candidate) -> candidate.usable(now) && !request.excluded().contains(candidate.engine.id()));
		for (EngineState candidate : this.engines.values()) {
			boolean allowed = !alternativeUsable || !request.excluded().contains(candidate.engine.id());
			if (allowed && candidate.accepts(request.work(), now)) {
				double costMillis = candidate.costMillis(request.work())
						+ (candidate.engine.zone().equals(request.zone()) ? 0 : CROSS_ZONE_COST_MILLIS);
				if (costMillis < bestCostMillis) {
					best = candidate;
					bestCostMillis = costMillis;
				}
			}
		}
		return best;
	}

	private PoolDecision dispatch(PoolRequest request, EngineState state, long now) {
		if (!state.health.available(now)) {
			invalidateCapacity();
			state.health.onProbe(now);
		}
		double expectedMillis = state.speed
			.firstEventMillis(state.promptBacklogTokens() + request.work().promptTokens());
		RunningAttempt attempt = new RunningAttempt(request, state.engine.id(), now, expectedMillis,
				state.promptBacklogTokens());
		this.running.put(request.id(), attempt);
		state.running.put(request.id(), attempt);
		capacity(now).freeSlots--;
		return new PoolDecision(request, state.engine.id(), 0,
				"running_" + state.running.size() + "_expected_" + (long) expectedMillis);
	}

	private void expireWaiting(long now) {
		boolean[] overloaded = new boolean[Tier.URGENCY_COUNT];
		for (int urgency = 0; urgency < overloaded.length; urgency++) {
			overloaded[urgency] = overloaded(urgency, now);
		}
		for (PoolRequest request : List.copyOf(this.waiting.values())) {
			Work work = request.work();
			boolean lateInOverload = overloaded[work.urgency()] && this.lateQueue.contains(work.id());
			if (now >= work.deadlineMillis() || lateInOverload) {
				long retryAfterMillis = retryAfterMillis(request, MIN_RETRY_AFTER_MILLIS, now);
				removeWaiting(work.id());
				reject(request, retryAfterMillis, lateInOverload ? "late_in_overload" : "waited_too_long", now);
			}
			else if (now + firstEventReserveMillis(request, now) > request.objectiveAt()
					&& this.onTimeQueue.remove(work.id()) != null) {
				this.lateQueue.add(work);
			}
		}
	}

	private void removeWaiting(String id) {
		this.waiting.remove(id);
		this.onTimeQueue.remove(id);
		this.lateQueue.remove(id);
	}

	private void suspectOverdueEngines(long now) {
		for (EngineState state : this.engines.values()) {
			for (RunningAttempt attempt : state.running.values()) {
				double maxFirstEventMillis = attempt.expectedFirstEventMillis * OVERDUE_FACTOR + OVERDUE_MARGIN_MILLIS;
				if (!attempt.answering && now - attempt.dispatchedAt > maxFirstEventMillis) {
					state.health.onOverdue(now);
					invalidateCapacity();
				}
			}
		}
	}

	/**
	 * Records the first event of an answer.
	 * @param id id of the work
	 * @param millis time from dispatch to the event in milliseconds
	 */
	public void onFirstEvent(String id, long millis) {
		RunningAttempt attempt = this.running.get(id);
		EngineState state = (attempt != null) ? this.engines.get(attempt.engine) : null;
		if (state != null && !attempt.answering) {
			invalidateCapacity();
			attempt.answering = true;
			state.health.markHealthy();
			state.speed.onFirstEvent(attempt.backlogTokens + attempt.request.work().promptTokens(), millis);
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param id id of the work
	 * @param result how it ended
	 * @param outputTokens tokens of the answer
	 * @param streamMillis time from the first event to the end in milliseconds
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, AttemptResult result, int outputTokens, long streamMillis, long now) {
		RunningAttempt attempt = this.running.remove(id);
		if (attempt == null) {
			return;
		}
		EngineState state = this.engines.get(attempt.engine);
		if (state != null) {
			invalidateCapacity();
			state.running.remove(id);
			state.health.onAttemptEnded(result, now);
			state.speed.onStream(outputTokens, streamMillis);
			if (!state.accepting && state.running.isEmpty()) {
				this.engines.remove(attempt.engine);
			}
		}
	}

	/**
	 * Takes back a demand, whether it waits or runs.
	 * @param id id of the work
	 */
	public void withdraw(String id) {
		removeWaiting(id);
		RunningAttempt attempt = this.running.remove(id);
		if (attempt != null && this.engines.containsKey(attempt.engine)) {
			this.engines.get(attempt.engine).running.remove(id);
			invalidateCapacity();
		}
	}

	/**
	 * Returns where work runs.
	 * @param id id of the work
	 * @return id of the engine, or null if the work does not run
	 */
	public String engineOf(String id) {
		RunningAttempt attempt = this.running.get(id);
		return (attempt != null) ? attempt.engine : null;
	}

	/**
	 * Takes over an attempt that another scheduler has started.
	 * @param request the demand
	 * @param engine id of the engine it runs on
	 * @param now time in milliseconds
	 */
	public void adopt(PoolRequest request, String engine, long now) {
		EngineState state = this.engines.get(engine);
		if (state != null && !this.running.containsKey(request.id())) {
			RunningAttempt attempt = new RunningAttempt(request, engine, now, 0, 0);
			attempt.answering = true;
			invalidateCapacity();
			this.running.put(request.id(), attempt);
			state.running.put(request.id(), attempt);
		}
	}

	/**
	 * Forgets all demands of a host.
	 * @param host id of the host
	 * @return ids of the forgotten work
	 */
	public List<String> removeHost(String host) {
		List<String> ids = new ArrayList<>();
		this.waiting.values()
			.stream()
			.filter((request) -> request.host().equals(host))
			.forEach((request) -> ids.add(request.id()));
		this.running.values()
			.stream()
			.filter((request) -> request.request.host().equals(host))
			.forEach((request) -> ids.add(request.request.id()));
		ids.forEach(this::withdraw);
		return ids;
	}

	/**
	 * Returns the number of demands that wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Returns the number of demands that run.
	 * @return the number
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * What the engines can do at a moment. Confined to its scheduler.
	 */
	private static final class Capacity {

		/** The usable engine with the shortest time per token, or null. */
		final EngineState fastest;

		final int usableSlots;

		/** Slots of the fastest engine that could do what all usable engines can do. */
		final double effectiveSlots;

		int freeSlots;

		Capacity(Collection<EngineState> engines, long now) {
			EngineState best = null;
			int usable = 0;
			double slotsPerToken = 0;
			for (EngineState state : engines) {
				if (state.usable(now)) {
					best = (best == null || state.speed.decodeMillisPerToken() < best.speed.decodeMillisPerToken())
							? state : best;
					usable += state.engine.slots();
					slotsPerToken += state.engine.slots() / Math.max(0.001, state.speed.decodeMillisPerToken());
					this.freeSlots += Math.max(0, state.engine.slots() - state.running.size());
				}
			}
			this.fastest = best;
			this.usableSlots = usable;
			this.effectiveSlots = (best != null) ? slotsPerToken * best.speed.decodeMillisPerToken() : 0;
		}

		EngineSpeedEstimator speed() {
			return (this.fastest != null) ? this.fastest.speed : EngineSpeedEstimator.NONE;
		}

	}

	/**
	 * An attempt on an engine. Confined to its scheduler.
	 */
	private static final class RunningAttempt {

		final PoolRequest request;

		final String engine;

		final long dispatchedAt;

		final double expectedFirstEventMillis;

		final int backlogTokens;

		boolean answering;

		RunningAttempt(PoolRequest request, String engine, long dispatchedAt, double expectedFirstEventMillis,
				int backlogTokens) {
			this.request = request;
			this.engine = engine;
			this.dispatchedAt = dispatchedAt;
			this.expectedFirstEventMillis = expectedFirstEventMillis;
			this.backlogTokens = backlogTokens;
		}

	}

	/**
	 * What is known of one engine. Confined to its scheduler.
	 */
	private static final class EngineState {

		PoolEngine engine;

		boolean accepting = true;

		final Map<String, RunningAttempt> running = new HashMap<>();

		final EndpointHealth health = new EndpointHealth();

		final EngineSpeedEstimator speed = new EngineSpeedEstimator();

		boolean usable(long now) {
			return this.accepting && (this.health.available(now) || this.health.probeAllowed(now));
		}

		boolean accepts(Work work, long now) {
			return usable(now) && this.running.size() < this.engine.slots() && fitsKvCache(work);
		}

		private boolean fitsKvCache(Work work) {
			if (this.engine.kvTokens() == 0 || this.running.isEmpty()) {
				return true;
			}
			long reservedTokens = work.kvTokens();
			for (RunningAttempt attempt : this.running.values()) {
				reservedTokens += attempt.request.work().kvTokens();
			}
			return reservedTokens <= this.engine.kvTokens() * MAX_KV_SHARE;
		}

		// Prompt tokens of attempts that have not begun to answer.
		int promptBacklogTokens() {
			int tokens = 0;
			for (RunningAttempt attempt : this.running.values()) {
				tokens += attempt.answering ? 0 : attempt.request.work().promptTokens();
			}
			return tokens;
		}

		double costMillis(Work work) {
			double firstEventMillis = this.speed.firstEventMillis(promptBacklogTokens() + work.promptTokens());
			double streamMillis = this.speed.streamMillis(work.expectedTokens(), this.running.size() + 1,
					this.engine.slots());
			return (firstEventMillis + streamMillis + ROUND_TRIP_MILLIS) * this.health.costFactor();
		}

	}

}
