package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Scheduler of the engine pool of one service: dispatches each place request to an
 * engine, queues it or rejects it. Engines admit in order of arrival, so requests are
 * queued here instead: by urgency, then by fair queueing over kinds of work and
 * organisations. Work that can still meet its objective goes before work of the same
 * urgency that cannot. Invariants:
 * <ul>
 * <li>No engine is given more work than it has slots, nor more than fits its KV
 * cache.</li>
 * <li>Work is dispatched only while no more urgent work waits, except for the share of
 * engine time that is guaranteed to less urgent work, and except for engines that are too
 * slow for the more urgent work to end before the client's deadline.</li>
 * <li>Work is dispatched only to engines of its eligible versions, and holds up no other
 * work while it waits for one of them.</li>
 * <li>Each offered request gets one decision unless it is withdrawn.</li>
 * </ul>
 * Requests are admitted by {@link PoolAdmission}, ordered by {@link DispatchOrder} and
 * assigned by {@link EngineChoice} to engines of the {@link EnginePool}. Times are
 * milliseconds. Not safe for use by several threads.
 *
 * <pre>
 * scheduler.engines(engines);
 * scheduler.offer(request, now);
 * scheduler.decide(now).forEach((decision) -&gt; reply(decision));
 * </pre>
 */
public final class PoolScheduler {

	/** Shortest advised retry delay in milliseconds. */
	static final long MIN_RETRY_AFTER_MILLIS = PoolAdmission.MIN_RETRY_AFTER_MILLIS;

	/**
	 * Shortest time in milliseconds between two scans of all waiting and running requests
	 * for overdue ones; objectives are several hundred milliseconds.
	 */
	static final long SCAN_INTERVAL_MILLIS = 10;

	private final EnginePool pool = new EnginePool();

	private final EngineChoice choice = new EngineChoice(this.pool);

	private final DispatchOrder order = new DispatchOrder(this.pool, this.choice);

	private final PoolAdmission admission = new PoolAdmission(this.pool, this.choice, this.order);

	/** Requests whose grants were taken back, with whether they were late. */
	private final Map<String, Boolean> takenBack = new HashMap<>();

	private long lastScanAt = Long.MIN_VALUE / 2;

	/**
	 * Replaces the cost of engines in another availability zone.
	 * @param cost the cost
	 */
	public void crossZoneCost(CrossZoneCost cost) {
		this.choice.crossZoneCost(cost);
	}

	/**
	 * Replaces the set of engines that accept work. An engine that is no longer in the
	 * set is kept until its running attempts have ended, but gets no new work.
	 * @param acceptingEngines the engines that accept work
	 */
	public void engines(Collection<PoolEngine> acceptingEngines) {
		this.pool.replace(acceptingEngines);
	}

	/**
	 * Enqueues or rejects a place request; {@link #decide} returns the decision. A
	 * request that already waits or runs is ignored. A request that is expected to meet
	 * its objective is queued in turn. Any other is queued as late, unless its urgency is
	 * overloaded or its expected wait is too long for its deadline, in which case it is
	 * rejected immediately. A client's retry after a rejection is late, since its
	 * objective counts from the first attempt, and goes before other late requests of its
	 * organisation. A resumed stream goes before new work and waits until its deadline. A
	 * request whose grant was taken back is not new: it keeps its turn and does not count
	 * as demand again.
	 * @param request the place request
	 * @param now time in milliseconds
	 */
	public void offer(PoolRequest request, long now) {
		if (this.order.isWaiting(request.id()) || this.pool.isRunning(request.id())) {
			return;
		}
		Boolean late = this.takenBack.remove(request.id());
		if (late != null) {
			this.admission.offerAgain(request, late, now);
		}
		else {
			this.admission.offer(request, now);
		}
	}

	/**
	 * Takes back the grant of a request that cannot use its engine yet. The request is to
	 * be offered again or withdrawn.
	 * @param request the request that was granted a place
	 * @param now time in milliseconds
	 */
	public void takeBack(PoolRequest request, long now) {
		this.takenBack.put(request.id(), this.pool.isLate(request.id()));
		this.pool.withdraw(request.id());
		this.order.servedShares().onTakenBack(request.work().urgency(), now);
	}

	/**
	 * Returns whether new work of a level would have to wait, that is, work waits already
	 * or all slots are in use or reserved for more urgent work.
	 * @param level level of its {@link PoolPriority}
	 * @param now time in milliseconds
	 * @return true if new work would have to wait
	 */
	public boolean saturated(int level, long now) {
		return this.order.waitingCount() > 0 || !this.order.slotFree(level, now);
	}

	/**
	 * Dispatches waiting work to free slots and expires work that waited too long. Also
	 * suspects engines whose first events are overdue.
	 * @param now time in milliseconds
	 * @return the grants and rejections since the last call
	 */
	public List<PoolDecision> decide(long now) {
		if (now - this.lastScanAt >= SCAN_INTERVAL_MILLIS) {
			this.lastScanAt = now;
			this.pool.suspectOverdueEngines(now);
			this.admission.expireWaiting(now);
		}
		List<PoolDecision> decisions = this.admission.takeRejections();
		this.order.dispatch(now, decisions);
		return decisions;
	}

	/**
	 * Records the first event of an answer, from which the engine's speed is estimated.
	 * @param id id of the work
	 * @param millis time from dispatch to the event in milliseconds
	 */
	public void onFirstEvent(String id, long millis) {
		this.pool.onFirstEvent(id, millis);
	}

	/**
	 * Records that an engine has named a limit. It holds until an answer names none.
	 * @param id id of the work whose answer names the limit, or empty if it was named
	 * before
	 * @param engine id of the engine
	 * @param requestsPerSecond requests per second, more than 0
	 * @param now time in milliseconds
	 */
	public void onLimitNamed(String id, String engine, double requestsPerSecond, long now) {
		this.pool.onLimitNamed(id, engine, requestsPerSecond, now);
	}

	/**
	 * Sets the share of the limits of engines that this scheduler may use.
	 * @param share more than 0, up to 1
	 * @param now time in milliseconds
	 */
	public void limitShare(double share, long now) {
		this.pool.limitShare(share, now);
	}

	/**
	 * Records that the stream of an attempt has stalled or goes on. An engine is
	 * suspected once all its streams are stalled: if only some are, it is busy with the
	 * others or has preempted them.
	 * @param id id of the work
	 * @param stalled true if the stream stalled, false if it goes on
	 * @param now time in milliseconds
	 */
	public void onStalled(String id, boolean stalled, long now) {
		this.pool.onStalled(id, stalled, now);
	}

	/**
	 * Records the end of an attempt.
	 * @param id id of the work
	 * @param result result of the attempt
	 * @param stats length and timing of its stream
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, AttemptResult result, StreamStats stats, long now) {
		this.pool.onEnded(id, result, stats, now);
	}

	/**
	 * Removes a request, whether it waits or runs.
	 * @param id id of the work
	 */
	public void withdraw(String id) {
		this.takenBack.remove(id);
		this.admission.withdraw(id);
		this.order.remove(id);
		this.pool.withdraw(id);
	}

	/**
	 * Returns whether work waits.
	 * @param id id of the work
	 * @return true if it was offered and is not decided
	 */
	public boolean waits(String id) {
		return this.order.isWaiting(id);
	}

	/**
	 * Returns the engine on which work runs.
	 * @param id id of the work
	 * @return id of the engine, or null if the work does not run
	 */
	public String engineOf(String id) {
		return this.pool.engineOf(id);
	}

	/**
	 * Records an attempt that another scheduler has dispatched, so that it counts against
	 * the engine's slots. Ignored if the engine does not exist or the request already
	 * runs.
	 * @param request the place request
	 * @param engine id of the engine on which it runs
	 * @param now time in milliseconds
	 */
	public void adopt(PoolRequest request, String engine, long now) {
		this.pool.adopt(request, engine, now);
	}

	/**
	 * Records an attempt that another scheduler has dispatched to an engine that may not
	 * be among the accepting ones, so that it holds a slot when the engine accepts work
	 * again. Ignored if the request already runs.
	 * @param request the place request
	 * @param engine the engine on which it runs
	 * @param now time in milliseconds
	 */
	public void adopt(PoolRequest request, PoolEngine engine, long now) {
		if (!this.pool.isRunning(request.id())) {
			this.pool.addClosed(engine);
			this.pool.adopt(request, engine.id(), now);
		}
	}

	/**
	 * Withdraws all requests of a host.
	 * @param host id of the host
	 * @return ids of the withdrawn work
	 */
	public List<String> removeHost(String host) {
		List<String> ids = new ArrayList<>(this.order.waitingOfHost(host));
		ids.addAll(this.pool.runningOfHost(host));
		ids.forEach(this::withdraw);
		return ids;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int waitingCount() {
		return this.order.waitingCount();
	}

	/**
	 * Returns the number of running requests.
	 * @return the number
	 */
	public int runningCount() {
		return this.pool.runningCount();
	}

}
