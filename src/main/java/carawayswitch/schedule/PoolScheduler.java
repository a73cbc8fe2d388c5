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
	static final double RESERVE_SHARE = 0.03;

	/** Time in milliseconds for which an urgency counts as in use after its last work. */
	static final long URGENCY_MEMORY_MILLIS = 15_000;

	/** Share of the time that is left which a wait may take before work is refused. */
	static final double MAX_WAIT_SHARE = 0.8;

	/** Allowance for the way to the engine and back, in milliseconds. */
	static final double NETWORK_MILLIS = 10;

	/**
	 * Time beyond the expected first event, as a multiple, after which an engine is
	 * suspected.
	 */
	static final double OVERDUE_FACTOR = 3;

	/** Time in milliseconds that is added to it. */
	static final double OVERDUE_MILLIS = 700;

	/** Cost of crossing availability zones in milliseconds. */
	static final double REMOTE_ZONE_MILLIS = 4;

	/**
	 * Time in milliseconds over which the demand of an urgency is averaged; bursts last
	 * seconds.
	 */
	static final double DEMAND_MILLIS = 1500;

	/**
	 * Part of the engines' time that work of an urgency gets for each part that more
	 * urgent work gets while both wait, so that no kind starves.
	 */
	static final double LOWER_SHARE = 0.2;

	/** Largest credit of an urgency, in milliseconds of a slot. */
	static final double MAX_CREDIT_MILLIS = 3000;

	/**
	 * Largest advised wait as a part of the time that the client has left; clients ignore
	 * advice beyond a third of it.
	 */
	static final double RETRY_SHARE = 0.32;

	/** Most of an objective that the time to a first event takes when work is judged. */
	static final double MAX_FIRST_EVENT_SHARE = 0.6;

	/**
	 * Factor on an estimated wait; what comes meanwhile and is more urgent adds to it.
	 */
	static final double WAIT_MARGIN = 1.4;

	/** Time in milliseconds for which a refused request is remembered. */
	static final long RETURN_MILLIS = 12_000;

	private static final int MAX_REFUSED = 10_000;

	/** Shortest advised wait in milliseconds. */
	static final long MIN_RETRY_MILLIS = 100;

	/**
	 * Time in milliseconds between two looks at all that waits and runs for what is
	 * overdue; objectives are some hundred milliseconds.
	 */
	static final long LOOK_MILLIS = 10;

	private static final double KV_SHARE = 0.95;

	private final Map<String, EngineLoad> engines = new LinkedHashMap<>();

	private final WaitingQueue queue = new WaitingQueue();

	/** Waiting work that can no longer be on time. */
	private final WaitingQueue late = new WaitingQueue();

	private final Map<String, PoolDemand> waiting = new HashMap<>();

	private final Map<String, Running> running = new HashMap<>();

	/** Requests that were refused, by return key, with the time of the refusal. */
	private final Map<String, Long> refused = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REFUSED;
		}
	};

	private final double[] demandMillis = new double[Tier.URGENCIES];

	private final double[] credit = new double[Tier.URGENCIES];

	private long demandAt;

	private final long[] urgencySeenAt = new long[Tier.URGENCIES];

	/** What the engines can do at {@link #capacityAt}, which many decisions ask for. */
	private Capacity capacity;

	private long capacityAt = Long.MIN_VALUE;

	private long lookedAt = Long.MIN_VALUE / 2;

	private final List<PoolDecision> refusals = new ArrayList<>();

	/** Creates a scheduler without engines. */
	public PoolScheduler() {
		Arrays.fill(this.urgencySeenAt, Long.MIN_VALUE / 2);
	}

	/**
	 * Replaces the engines that accept work. What runs on others is still accounted for.
	 * @param accepting the engines
	 */
	public void engines(Collection<PoolEngine> accepting) {
		forgetCapacity();
		Set<String> ids = new HashSet<>();
		for (PoolEngine engine : accepting) {
			ids.add(engine.id());
			this.engines.computeIfAbsent(engine.id(), (id) -> new EngineLoad()).engine = engine;
		}
		this.engines.forEach((id, load) -> load.accepting = ids.contains(id));
		this.engines.values().removeIf((load) -> !load.accepting && load.running.isEmpty());
	}

	/**
	 * Offers a demand. Its decision comes from {@link #decide}. One that is known already
	 * is ignored. A demand that can be on time waits in turn. One that cannot waits only
	 * where a place is in sight, before others of its organisation if it was refused
	 * before and has come back, and is refused at once otherwise.
	 * @param demand the demand
	 * @param now time in milliseconds
	 */
	public void offer(PoolDemand demand, long now) {
		Work work = demand.work();
		if (this.waiting.containsKey(demand.id()) || this.running.containsKey(demand.id())) {
			return;
		}
		this.urgencySeenAt[work.urgency()] = now;
		if (capacity(now).usableSlots == 0) {
			refuse(demand, EndpointHealth.INITIAL_BACKOFF_MILLIS, "no_engine", now);
			return;
		}
		boolean returned = returned(demand, now);
		if (!returned) {
			decayDemand(now);
			this.demandMillis[work.urgency()] += occupation(work, now);
		}
		double wait = waitMillis(work, this.queue, now);
		double lateWait = wait + waitMillis(work, this.late, now);
		double patience = (work.deadlineMillis() - now) * MAX_WAIT_SHARE;
		boolean onTime = now + wait * WAIT_MARGIN + neededMillis(demand, now) <= demand.objectiveAt();
		if (onTime) {
			admit(this.queue, demand, false);
		}
		else if (lateWait < patience && !overloaded(work.urgency(), now)) {
			admit(this.late, demand, returned);
		}
		else {
			refuse(demand, retryAfter(demand, lateWait, now), "wait_" + (long) wait + "_late_" + (long) lateWait, now);
		}
	}

	/**
	 * Returns whether new work of an urgency would have to wait.
	 * @param urgency the urgency
	 * @param now time in milliseconds
	 * @return true if no engine has room for it
	 */
	public boolean crowded(int urgency, long now) {
		return !this.waiting.isEmpty() || capacity(now).freeSlots <= reserve(urgency, now);
	}

	private void admit(WaitingQueue to, PoolDemand demand, boolean first) {
		if (first) {
			to.addFirst(demand.work());
		}
		else {
			to.add(demand.work());
		}
		this.waiting.put(demand.id(), demand);
	}

	private boolean overloaded(int urgency, long now) {
		return demandShare(urgency, now) >= 1;
	}

	// While demand exceeds what the engines can do, a client that may come back once has
	// the best chance late.
	private long retryAfter(PoolDemand demand, double wait, long now) {
		double left = Math.max(0, demand.clientDeadlineAt() - now) * RETRY_SHARE;
		double wanted = overloaded(demand.work().urgency(), now) ? left : wait;
		return Math.max(MIN_RETRY_MILLIS, (long) Math.min(left, wanted));
	}

	private void refuse(PoolDemand demand, long retryAfterMillis, String reason, long now) {
		if (!demand.returnKey().isEmpty()) {
			this.refused.put(demand.returnKey(), now);
		}
		this.refusals.add(new PoolDecision(demand, null, retryAfterMillis, reason));
	}

	private boolean returned(PoolDemand demand, long now) {
		Long refusedAt = this.refused.remove(demand.returnKey());
		return refusedAt != null && now - refusedAt < RETURN_MILLIS;
	}

	private void decayDemand(long now) {
		double factor = Math.exp(-Math.max(0, now - this.demandAt) / DEMAND_MILLIS);
		for (int i = 0; i < this.demandMillis.length; i++) {
			this.demandMillis[i] *= factor;
		}
		this.demandAt = now;
	}

	// Part of the engines' time that recent work of this urgency and above asks for.
	private double demandShare(int urgency, long now) {
		decayDemand(now);
		double sum = 0;
		for (int i = urgency; i < this.demandMillis.length; i++) {
			sum += this.demandMillis[i];
		}
		return sum / DEMAND_MILLIS / Math.max(1, capacity(now).effectiveSlots);
	}

	// Time that the work occupies a slot of the fastest engine when its slots are taken.
	private double occupation(Work work, long now) {
		EngineLoad fastest = capacity(now).fastest;
		return (fastest != null) ? fastest.speed.firstEventMillis(work.promptTokens())
				+ fastest.speed.streamMillis(work.expectedTokens(), 1, 1) : 0;
	}

	private Capacity capacity(long now) {
		if (this.capacity == null || now != this.capacityAt) {
			this.capacityAt = now;
			this.capacity = new Capacity(this.engines.values(), now);
		}
		return this.capacity;
	}

	private void forgetCapacity() {
		this.capacity = null;
	}

	// Time that must be left for a first event on time. A prompt that no engine reads in
	// time
	// is given the chance of the others: large requests are served as small ones are.
	private double neededMillis(PoolDemand demand, long now) {
		EngineLoad fastest = capacity(now).fastest;
		double first = (fastest != null) ? fastest.speed.firstEventMillis(demand.work().promptTokens()) : 0;
		return Math.min(first, (demand.objectiveAt() - demand.work().arrivalMillis()) * MAX_FIRST_EVENT_SHARE);
	}

	// Time until work would start if all work of a queue that goes before it were served
	// first. Other organisations go before it no more than its own does.
	private double waitMillis(Work work, WaitingQueue before, long now) {
		int urgency = work.urgency();
		Capacity can = capacity(now);
		if (before == this.queue && this.waiting.isEmpty() && can.freeSlots > reserve(urgency, now)) {
			return 0;
		}
		double ahead = 0;
		for (int higher = urgency + 1; higher < Tier.URGENCIES; higher++) {
			ahead += before.backlog(higher).slotMillis(can.speed());
		}
		double own = before.backlog(urgency, work.organisation()).slotMillis(can.speed()) + occupation(work, now);
		for (Map.Entry<String, WaitingQueue.Backlog> entry : before.backlogByOrganisation(urgency).entrySet()) {
			double others = entry.getValue().slotMillis(can.speed());
			ahead += entry.getKey().equals(work.organisation()) ? others : Math.min(others, own);
		}
		double higher = (urgency < Tier.HIGHEST_URGENCY) ? demandShare(urgency + 1, now) : 0;
		return ahead / Math.max(1, can.effectiveSlots) / Math.max(LOWER_SHARE, 1 - higher);
	}

	// Returns the slots that work of an urgency must leave free for more urgent work.
	private int reserve(int urgency, long now) {
		int steps = 0;
		for (int higher = urgency + 1; higher < Tier.URGENCIES; higher++) {
			steps += (now - this.urgencySeenAt[higher] < URGENCY_MEMORY_MILLIS) ? 1 : 0;
		}
		return (int) Math.round(capacity(now).usableSlots * RESERVE_SHARE * steps);
	}

	/**
	 * Decides what can be decided now.
	 * @param now time in milliseconds
	 * @return grants and refusals
	 */
	public List<PoolDecision> decide(long now) {
		if (now - this.lookedAt >= LOOK_MILLIS) {
			this.lookedAt = now;
			suspectOverdue(now);
			expire(now);
		}
		List<PoolDecision> decisions = new ArrayList<>(this.refusals);
		this.refusals.clear();
		startCredited(now, decisions);
		for (int urgency = Tier.HIGHEST_URGENCY; urgency >= 0; urgency--) {
			if (!startAll(this.queue, urgency, now, decisions) || !startAll(this.late, urgency, now, decisions)) {
				break;
			}
		}
		return decisions;
	}

	// Starts work that more urgent work has kept waiting beyond its share.
	private void startCredited(long now, List<PoolDecision> decisions) {
		for (int urgency = Tier.HIGHEST_URGENCY - 1; urgency >= 0; urgency--) {
			Work work = this.queue.peek(urgency);
			while (work != null && this.credit[urgency] >= occupation(work, now)
					&& startNext(this.queue, work, now, decisions)) {
				work = this.queue.peek(urgency);
			}
		}
	}

	// Starts waiting work of one urgency. Returns true if no more of it waits, so that
	// less urgent work may start.
	private boolean startAll(WaitingQueue from, int urgency, long now, List<PoolDecision> decisions) {
		for (Work work = from.peek(urgency); work != null; work = from.peek(urgency)) {
			if (capacity(now).freeSlots <= reserve(urgency, now) || !startNext(from, work, now, decisions)) {
				return false;
			}
		}
		return true;
	}

	private boolean startNext(WaitingQueue from, Work work, long now, List<PoolDecision> decisions) {
		PoolDemand demand = this.waiting.get(work.id());
		EngineLoad best = choose(demand, now);
		if (best == null) {
			return false;
		}
		from.poll(work.urgency());
		forget(work.id());
		moveCredit(work, occupation(work, now));
		decisions.add(start(demand, best, now));
		return true;
	}

	// Work that starts pays for itself and earns credit for less urgent work that waits.
	private void moveCredit(Work work, double occupation) {
		this.credit[work.urgency()] = Math.max(0, this.credit[work.urgency()] - occupation);
		for (int lower = 0; lower < work.urgency(); lower++) {
			if (this.queue.peek(lower) != null) {
				this.credit[lower] = Math.min(MAX_CREDIT_MILLIS, this.credit[lower] + occupation * LOWER_SHARE);
			}
		}
	}

	private EngineLoad choose(PoolDemand demand, long now) {
		EngineLoad best = null;
		double bestCost = Double.MAX_VALUE;
		boolean othersLeft = this.engines.values()
			.stream()
			.anyMatch((load) -> load.usable(now) && !demand.excluded().contains(load.engine.id()));
		for (EngineLoad load : this.engines.values()) {
			boolean allowed = !othersLeft || !demand.excluded().contains(load.engine.id());
			if (allowed && load.accepts(demand.work(), now)) {
				double cost = load.cost(demand.work())
						+ (load.engine.zone().equals(demand.zone()) ? 0 : REMOTE_ZONE_MILLIS);
				if (cost < bestCost) {
					best = load;
					bestCost = cost;
				}
			}
		}
		return best;
	}

	private PoolDecision start(PoolDemand demand, EngineLoad load, long now) {
		if (!load.health.available(now)) {
			forgetCapacity();
			load.health.onProbe(now);
		}
		double expected = load.speed.firstEventMillis(load.promptBacklog() + demand.work().promptTokens());
		Running attempt = new Running(demand, load.engine.id(), now, expected, load.promptBacklog());
		this.running.put(demand.id(), attempt);
		load.running.put(demand.id(), attempt);
		capacity(now).freeSlots--;
		return new PoolDecision(demand, load.engine.id(), 0,
				"running_" + load.running.size() + "_expected_" + (long) expected);
	}

	private void expire(long now) {
		boolean[] overloaded = new boolean[Tier.URGENCIES];
		for (int urgency = 0; urgency < overloaded.length; urgency++) {
			overloaded[urgency] = overloaded(urgency, now);
		}
		for (PoolDemand demand : List.copyOf(this.waiting.values())) {
			Work work = demand.work();
			boolean hopeless = overloaded[work.urgency()] && this.late.contains(work.id());
			if (now >= work.deadlineMillis() || hopeless) {
				long advised = retryAfter(demand, MIN_RETRY_MILLIS, now);
				forget(work.id());
				refuse(demand, advised, hopeless ? "late_in_overload" : "waited_too_long", now);
			}
			else if (now + neededMillis(demand, now) > demand.objectiveAt() && this.queue.remove(work.id()) != null) {
				this.late.add(work);
			}
		}
	}

	private void forget(String id) {
		this.waiting.remove(id);
		this.queue.remove(id);
		this.late.remove(id);
	}

	private void suspectOverdue(long now) {
		for (EngineLoad load : this.engines.values()) {
			for (Running attempt : load.running.values()) {
				double limit = attempt.expectedMillis * OVERDUE_FACTOR + OVERDUE_MILLIS;
				if (!attempt.started && now - attempt.startedAt > limit) {
					load.health.onOverdue(now);
					forgetCapacity();
				}
			}
		}
	}

	/**
	 * Records the first event of an answer.
	 * @param id id of the work
	 * @param millis time from dispatch to the event in milliseconds
	 */
	public void firstEvent(String id, long millis) {
		Running attempt = this.running.get(id);
		EngineLoad load = (attempt != null) ? this.engines.get(attempt.engine) : null;
		if (load != null && !attempt.started) {
			forgetCapacity();
			attempt.started = true;
			load.health.markHealthy();
			load.speed.onFirstEvent(attempt.backlog + attempt.demand.work().promptTokens(), millis);
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
	public void ended(String id, AttemptResult result, int outputTokens, long streamMillis, long now) {
		Running attempt = this.running.remove(id);
		if (attempt == null) {
			return;
		}
		EngineLoad load = this.engines.get(attempt.engine);
		if (load != null) {
			forgetCapacity();
			load.running.remove(id);
			load.health.onAttemptEnded(result, now);
			load.speed.onStream(outputTokens, streamMillis);
			if (!load.accepting && load.running.isEmpty()) {
				this.engines.remove(attempt.engine);
			}
		}
	}

	/**
	 * Takes back a demand, whether it waits or runs.
	 * @param id id of the work
	 */
	public void withdraw(String id) {
		forget(id);
		Running attempt = this.running.remove(id);
		if (attempt != null && this.engines.containsKey(attempt.engine)) {
			this.engines.get(attempt.engine).running.remove(id);
			forgetCapacity();
		}
	}

	/**
	 * Returns where work runs.
	 * @param id id of the work
	 * @return id of the engine, or null if the work does not run
	 */
	public String engineOf(String id) {
		Running attempt = this.running.get(id);
		return (attempt != null) ? attempt.engine : null;
	}

	/**
	 * Takes over an attempt that another scheduler has started.
	 * @param demand the demand
	 * @param engine id of the engine it runs on
	 * @param now time in milliseconds
	 */
	public void adopt(PoolDemand demand, String engine, long now) {
		EngineLoad load = this.engines.get(engine);
		if (load != null && !this.running.containsKey(demand.id())) {
			Running attempt = new Running(demand, engine, now, 0, 0);
			attempt.started = true;
			forgetCapacity();
			this.running.put(demand.id(), attempt);
			load.running.put(demand.id(), attempt);
		}
	}

	/**
	 * Forgets all demands of a host.
	 * @param host id of the host
	 * @return ids of the forgotten work
	 */
	public List<String> hostLost(String host) {
		List<String> ids = new ArrayList<>();
		this.waiting.values().stream().filter((each) -> each.host().equals(host)).forEach((each) -> ids.add(each.id()));
		this.running.values()
			.stream()
			.filter((each) -> each.demand.host().equals(host))
			.forEach((each) -> ids.add(each.demand.id()));
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
		final EngineLoad fastest;

		final int usableSlots;

		/** Slots of the fastest engine that could do what all usable engines can do. */
		final double effectiveSlots;

		int freeSlots;

		Capacity(Collection<EngineLoad> engines, long now) {
			EngineLoad best = null;
			int usable = 0;
			double slotsPerToken = 0;
			for (EngineLoad load : engines) {
				if (load.usable(now)) {
					best = (best == null || load.speed.decodeMillisPerToken() < best.speed.decodeMillisPerToken())
							? load : best;
					usable += load.engine.slots();
					slotsPerToken += load.engine.slots() / Math.max(0.001, load.speed.decodeMillisPerToken());
					this.freeSlots += Math.max(0, load.engine.slots() - load.running.size());
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
	private static final class Running {

		final PoolDemand demand;

		final String engine;

		final long startedAt;

		final double expectedMillis;

		final int backlog;

		boolean started;

		Running(PoolDemand demand, String engine, long startedAt, double expectedMillis, int backlog) {
			this.demand = demand;
			this.engine = engine;
			this.startedAt = startedAt;
			this.expectedMillis = expectedMillis;
			this.backlog = backlog;
		}

	}

	/**
	 * What is known of one engine. Confined to its scheduler.
	 */
	private static final class EngineLoad {

		PoolEngine engine;

		boolean accepting = true;

		final Map<String, Running> running = new HashMap<>();

		final EndpointHealth health = new EndpointHealth();

		final EngineSpeedEstimator speed = new EngineSpeedEstimator();

		boolean usable(long now) {
			return this.accepting && (this.health.available(now) || this.health.probeAllowed(now));
		}

		boolean accepts(Work work, long now) {
			return usable(now) && this.running.size() < this.engine.slots() && fits(work);
		}

		private boolean fits(Work work) {
			if (this.engine.kvTokens() == 0 || this.running.isEmpty()) {
				return true;
			}
			long promised = work.kvTokens();
			for (Running each : this.running.values()) {
				promised += each.demand.work().kvTokens();
			}
			return promised <= this.engine.kvTokens() * KV_SHARE;
		}

		// Prompt tokens of attempts that have not begun to answer.
		int promptBacklog() {
			int tokens = 0;
			for (Running each : this.running.values()) {
				tokens += each.started ? 0 : each.demand.work().promptTokens();
			}
			return tokens;
		}

		double cost(Work work) {
			double first = this.speed.firstEventMillis(promptBacklog() + work.promptTokens());
			double rest = this.speed.streamMillis(work.expectedTokens(), this.running.size() + 1, this.engine.slots());
			return (first + rest + NETWORK_MILLIS) * this.health.costFactor();
		}

	}

}
