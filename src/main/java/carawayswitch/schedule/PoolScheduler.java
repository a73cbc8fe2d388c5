package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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
	static final double RESERVE_SHARE = 0.05;

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
	 * Occupation of a slot in milliseconds that is assumed of a kind before it is known.
	 */
	static final double INITIAL_OCCUPATION_MILLIS = 1000;

	/** Weight of the newest sample of an occupation. */
	static final double OCCUPATION_SMOOTHING = 0.1;

	/** Shortest advised wait in milliseconds. */
	static final long MIN_RETRY_MILLIS = 100;

	private static final double KV_SHARE = 0.95;

	private final Map<String, EngineLoad> engines = new LinkedHashMap<>();

	private final FairQueue queue = new FairQueue();

	/** Waiting work that can no longer be on time. */
	private final FairQueue late = new FairQueue();

	private final Map<String, PoolDemand> waiting = new HashMap<>();

	private final Map<String, Running> running = new HashMap<>();

	private final Map<String, Double> occupation = new HashMap<>();

	private final long[] urgencySeenAt = new long[Tier.URGENCIES];

	private final List<PoolDecision> refusals = new ArrayList<>();

	/** Creates a scheduler without engines. */
	public PoolScheduler() {
		java.util.Arrays.fill(this.urgencySeenAt, Long.MIN_VALUE / 2);
	}

	/**
	 * Replaces the engines that accept work. What runs on others is still accounted for.
	 * @param accepting the engines
	 */
	public void engines(Collection<PoolEngine> accepting) {
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
	 * is ignored.
	 * @param demand the demand
	 * @param now time in milliseconds
	 */
	public void offer(PoolDemand demand, long now) {
		Work work = demand.work();
		if (this.waiting.containsKey(demand.id()) || this.running.containsKey(demand.id())) {
			return;
		}
		this.urgencySeenAt[work.urgency()] = now;
		double wait = waitMillis(work.urgency(), now);
		if (usableSlots(now) == 0) {
			this.refusals.add(new PoolDecision(demand, null, EndpointHealth.FIRST_PAUSE_MILLIS, "no_engine"));
		}
		else if (wait > (work.deadlineMillis() - now) * MAX_WAIT_SHARE) {
			this.refusals.add(new PoolDecision(demand, null, retryAfter(wait), "wait_" + (long) wait));
		}
		else {
			this.queue.add(work);
			this.waiting.put(demand.id(), demand);
		}
	}

	private static long retryAfter(double wait) {
		return Math.max(MIN_RETRY_MILLIS, (long) wait);
	}

	/**
	 * Returns the time until work of an urgency would start if it came now.
	 * @param urgency the urgency
	 * @param now time in milliseconds
	 * @return time in milliseconds
	 */
	double waitMillis(int urgency, long now) {
		int slots = usableSlots(now);
		if (slots == 0) {
			return INITIAL_OCCUPATION_MILLIS;
		}
		if (freeSlots(now) > reserve(urgency, now) && this.queue.highestUrgency() < urgency) {
			return 0;
		}
		double ahead = 0;
		for (PoolDemand demand : this.waiting.values()) {
			ahead += (demand.work().urgency() >= urgency) ? occupation(demand.work().kind()) : 0;
		}
		return ahead / slots;
	}

	private double occupation(String kind) {
		return this.occupation.getOrDefault(kind, INITIAL_OCCUPATION_MILLIS);
	}

	private int usableSlots(long now) {
		int slots = 0;
		for (EngineLoad load : this.engines.values()) {
			slots += load.usable(now) ? load.engine.slots() : 0;
		}
		return slots;
	}

	private int freeSlots(long now) {
		int free = 0;
		for (EngineLoad load : this.engines.values()) {
			free += load.usable(now) ? Math.max(0, load.engine.slots() - load.running.size()) : 0;
		}
		return free;
	}

	// Returns the slots that work of an urgency must leave free for more urgent work.
	private int reserve(int urgency, long now) {
		int steps = 0;
		for (int higher = urgency + 1; higher < Tier.URGENCIES; higher++) {
			steps += (now - this.urgencySeenAt[higher] < URGENCY_MEMORY_MILLIS) ? 1 : 0;
		}
		return (int) Math.round(usableSlots(now) * RESERVE_SHARE * steps);
	}

	/**
	 * Decides what can be decided now.
	 * @param now time in milliseconds
	 * @return grants and refusals
	 */
	public List<PoolDecision> decide(long now) {
		suspectOverdue(now);
		List<PoolDecision> decisions = new ArrayList<>(this.refusals);
		this.refusals.clear();
		expire(now, decisions);
		for (int urgency = Tier.HIGHEST_URGENCY; urgency >= 0; urgency--) {
			if (!startAll(this.queue, urgency, now, decisions) || !startAll(this.late, urgency, now, decisions)) {
				break;
			}
		}
		return decisions;
	}

	// Starts waiting work of one urgency. Returns true if no more of it waits, so that
	// less urgent work may start.
	private boolean startAll(FairQueue from, int urgency, long now, List<PoolDecision> decisions) {
		for (Work work = from.peek(urgency); work != null; work = from.peek(urgency)) {
			if (freeSlots(now) <= reserve(urgency, now)) {
				return false;
			}
			PoolDemand demand = this.waiting.get(work.id());
			EngineLoad best = choose(demand, now);
			if (best == null) {
				return false;
			}
			from.poll(urgency);
			this.waiting.remove(work.id());
			decisions.add(start(demand, best, now));
		}
		return true;
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
		if (!load.health.trusted(now)) {
			load.health.tried(now);
		}
		double expected = load.speed.firstEventMillis(load.promptBacklog() + demand.work().promptTokens());
		Running attempt = new Running(demand, load.engine.id(), now, expected, load.promptBacklog());
		this.running.put(demand.id(), attempt);
		load.running.put(demand.id(), attempt);
		return new PoolDecision(demand, load.engine.id(), 0,
				"running_" + load.running.size() + "_expected_" + (long) expected);
	}

	private void expire(long now, List<PoolDecision> decisions) {
		if (this.waiting.isEmpty()) {
			return;
		}
		double fastest = this.engines.values()
			.stream()
			.filter((load) -> load.usable(now))
			.mapToDouble((load) -> load.speed.firstEventMillis(0))
			.min()
			.orElse(0);
		for (Iterator<PoolDemand> all = this.waiting.values().iterator(); all.hasNext();) {
			PoolDemand demand = all.next();
			if (now >= demand.work().deadlineMillis()) {
				all.remove();
				this.queue.remove(demand.id());
				this.late.remove(demand.id());
				decisions.add(new PoolDecision(demand, null, retryAfter(waitMillis(demand.work().urgency(), now)),
						"waited_too_long"));
			}
			else if (now + fastest > demand.objectiveAt() && this.queue.remove(demand.id()) != null) {
				this.late.add(demand.work());
			}
		}
	}

	private void suspectOverdue(long now) {
		for (EngineLoad load : this.engines.values()) {
			for (Running attempt : load.running.values()) {
				double limit = attempt.expectedMillis * OVERDUE_FACTOR + OVERDUE_MILLIS;
				if (!attempt.started && now - attempt.startedAt > limit) {
					load.health.overdue(now);
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
			attempt.started = true;
			load.health.trust();
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
			load.running.remove(id);
			load.health.ended(result, now);
			load.speed.onStream(outputTokens, streamMillis);
			if (!load.accepting && load.running.isEmpty()) {
				this.engines.remove(attempt.engine);
			}
		}
		if (result == AttemptResult.ANSWERED) {
			double sample = now - attempt.startedAt;
			this.occupation.merge(attempt.demand.work().kind(), sample,
					(known, newest) -> known + OCCUPATION_SMOOTHING * (newest - known));
		}
	}

	/**
	 * Takes back a demand, whether it waits or runs.
	 * @param id id of the work
	 */
	public void withdraw(String id) {
		this.waiting.remove(id);
		this.queue.remove(id);
		this.late.remove(id);
		Running attempt = this.running.remove(id);
		if (attempt != null && this.engines.containsKey(attempt.engine)) {
			this.engines.get(attempt.engine).running.remove(id);
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

		final EngineSpeed speed = new EngineSpeed();

		boolean usable(long now) {
			return this.accepting && (this.health.trusted(now) || this.health.triable(now));
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
			return (first + rest + NETWORK_MILLIS) * this.health.penalty();
		}

	}

}
