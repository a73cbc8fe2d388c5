package carawayswitch.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Engines of a pool, the attempts that run on them and their capacity. Invariants:
 * <ul>
 * <li>Each running attempt is listed by its id and by its engine.</li>
 * <li>An engine that no longer accepts work is kept until its running attempts have
 * ended.</li>
 * <li>The cached capacity is discarded when an engine changes other than by a dispatch,
 * which only uses up a free slot.</li>
 * </ul>
 * Confined to its scheduler.
 */
final class EnginePool {

	/**
	 * Multiple of the expected time to the first event after which, with
	 * {@link #OVERDUE_MARGIN_MILLIS} added, an engine is suspected to have failed.
	 */
	static final double OVERDUE_FACTOR = 3;

	/**
	 * Fixed part of the time to the first event after which an engine is suspected, in
	 * milliseconds; see {@link #OVERDUE_FACTOR}.
	 */
	static final double OVERDUE_MARGIN_MILLIS = 700;

	private final Map<String, EngineState> engines = new LinkedHashMap<>();

	private final Map<String, PlacedAttempt> running = new HashMap<>();

	/**
	 * Cached capacity of the engines at {@link #capacityComputedAt}, which many decisions
	 * read; null if the engines changed since.
	 */
	private PoolCapacity capacity;

	private long capacityComputedAt = Long.MIN_VALUE;

	void replace(Collection<PoolEngine> acceptingEngines) {
		invalidateCapacity();
		Set<String> ids = new HashSet<>();
		for (PoolEngine engine : acceptingEngines) {
			ids.add(engine.id());
			this.engines.computeIfAbsent(engine.id(), (id) -> newEngine()).engine = engine;
		}
		this.engines.forEach((id, state) -> state.accepting = ids.contains(id));
		this.engines.values().removeIf((state) -> !state.accepting && state.running.isEmpty());
	}

	// A new engine is expected to be like the others. With a better expectation than that
	// of known engines it would draw all work that only a fast engine can finish in time.
	private EngineState newEngine() {
		EngineState state = new EngineState();
		state.speed.startFrom(this.engines.values().stream().map((other) -> other.speed).toList());
		return state;
	}

	// Returns all engines in the order in which they were added.
	Collection<EngineState> engines() {
		return Collections.unmodifiableCollection(this.engines.values());
	}

	PoolCapacity capacity(long now) {
		if (this.capacity == null || now != this.capacityComputedAt) {
			this.capacityComputedAt = now;
			this.capacity = new PoolCapacity(this.engines.values(), now);
		}
		return this.capacity;
	}

	private void invalidateCapacity() {
		this.capacity = null;
	}

	// Time for which work occupies a slot of the fastest engine when the engine is full.
	double occupancyMillis(Work work, long now) {
		EngineState fastest = capacity(now).fastest;
		return (fastest != null) ? fastest.speed.firstEventMillis(work.promptTokens())
				+ fastest.speed.streamMillis(work.expectedTokens(), 1, 1) : 0;
	}

	PoolDecision dispatch(PoolRequest request, EngineState state, boolean late, long now) {
		boolean probe = !state.health.available(now);
		if (probe) {
			state.health.onProbe(now);
		}
		double expectedMillis = state.speed
			.firstEventMillis(state.promptBacklogTokens() + request.work().promptTokens());
		PlacedAttempt attempt = new PlacedAttempt(request, state.engine.id(), now, expectedMillis,
				state.promptBacklogTokens());
		attempt.late = late;
		this.running.put(request.id(), attempt);
		state.running.put(request.id(), attempt);
		state.rateLimit.take(now);
		if (probe) {
			// The other slots of the engine are not usable until it answers.
			invalidateCapacity();
		}
		else {
			capacity(now).freeSlots--;
		}
		return new PoolDecision(request, state.engine.id(), 0,
				"running_" + state.running.size() + "_expected_" + (long) expectedMillis);
	}

	void suspectOverdueEngines(long now) {
		for (EngineState state : this.engines.values()) {
			for (PlacedAttempt attempt : state.running.values()) {
				double maxFirstEventMillis = attempt.expectedFirstEventMillis * OVERDUE_FACTOR + OVERDUE_MARGIN_MILLIS;
				if (!attempt.answering && now - attempt.dispatchedAt > maxFirstEventMillis) {
					state.health.onOverdue(now);
					invalidateCapacity();
				}
			}
		}
	}

	void onFirstEvent(String id, long millis) {
		PlacedAttempt attempt = this.running.get(id);
		EngineState state = (attempt != null) ? this.engines.get(attempt.engine) : null;
		if (state != null && !attempt.answering) {
			invalidateCapacity();
			attempt.answering = true;
			state.health.markHealthy();
			state.onAnswerBegun(attempt);
			state.speed.onFirstEvent(attempt.backlogTokens + attempt.request.work().promptTokens(), millis);
		}
	}

	void onLimitNamed(String id, String engine, double requestsPerSecond, long now) {
		PlacedAttempt attempt = this.running.get(id);
		if (attempt != null) {
			attempt.namedLimit = true;
		}
		EngineState state = this.engines.get(engine);
		if (state != null) {
			invalidateCapacity();
			state.rateLimit.name(requestsPerSecond, 0, now);
		}
	}

	void limitShare(double share, long now) {
		invalidateCapacity();
		this.engines.values().forEach((state) -> state.rateLimit.share(share, now));
	}

	// If only some streams of an engine are stalled, it is busy with the others or has
	// preempted them, so it is suspected only once all are.
	void onStalled(String id, boolean stalled, long now) {
		PlacedAttempt attempt = this.running.get(id);
		EngineState state = (attempt != null) ? this.engines.get(attempt.engine) : null;
		if (state == null) {
			return;
		}
		attempt.answering = true;
		attempt.stalled = stalled;
		invalidateCapacity();
		if (!stalled) {
			state.health.markHealthy();
		}
		else if (state.allStreamsStalled()) {
			state.health.onOverdue(now);
		}
	}

	void onEnded(String id, AttemptResult result, StreamStats stats, long now) {
		PlacedAttempt attempt = this.running.remove(id);
		if (attempt == null) {
			return;
		}
		EngineState state = this.engines.get(attempt.engine);
		if (state != null) {
			invalidateCapacity();
			state.running.remove(id);
			state.health.onAttemptEnded(result, now);
			state.onAttemptEnded(attempt, now);
			state.speed.onStream(stats.outputTokens(), stats.streamMillis());
			if (result == AttemptResult.ANSWERED && attempt.request.maxGapMillis() > 0) {
				state.speed.onPauses(stats.longestPauseMillis() <= attempt.request.maxGapMillis());
			}
			if (!state.accepting && state.running.isEmpty()) {
				this.engines.remove(attempt.engine);
			}
		}
	}

	// Removes an attempt without a result; ignored if it does not run.
	void withdraw(String id) {
		PlacedAttempt attempt = this.running.remove(id);
		if (attempt != null && this.engines.containsKey(attempt.engine)) {
			this.engines.get(attempt.engine).running.remove(id);
			invalidateCapacity();
		}
	}

	// Adds an engine that accepts no work, unless it is known.
	void addClosed(PoolEngine engine) {
		this.engines.computeIfAbsent(engine.id(), (id) -> {
			invalidateCapacity();
			EngineState state = newEngine();
			state.engine = engine;
			state.accepting = false;
			return state;
		});
	}

	// Records an attempt that another scheduler has dispatched; ignored if the engine
	// does not exist or the request already runs.
	void adopt(PoolRequest request, String engine, long now) {
		EngineState state = this.engines.get(engine);
		if (state != null && !this.running.containsKey(request.id())) {
			PlacedAttempt attempt = new PlacedAttempt(request, engine, now, 0, 0);
			attempt.answering = true;
			attempt.adopted = true;
			invalidateCapacity();
			this.running.put(request.id(), attempt);
			state.running.put(request.id(), attempt);
		}
	}

	// Returns the id of the engine on which work runs, or null.
	String engineOf(String id) {
		PlacedAttempt attempt = this.running.get(id);
		return (attempt != null) ? attempt.engine : null;
	}

	// Whether running work was late when it was dispatched.
	boolean isLate(String id) {
		PlacedAttempt attempt = this.running.get(id);
		return attempt != null && attempt.late;
	}

	boolean isRunning(String id) {
		return this.running.containsKey(id);
	}

	List<String> runningOfHost(String host) {
		return this.running.values()
			.stream()
			.filter((attempt) -> attempt.request.host().equals(host))
			.map((attempt) -> attempt.request.id())
			.toList();
	}

	int runningCount() {
		return this.running.size();
	}

}
