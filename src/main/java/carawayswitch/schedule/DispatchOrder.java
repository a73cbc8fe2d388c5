package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Order in which the waiting requests of a pool are dispatched: by urgency, then work
 * that is on time before late work, then by fair queueing. Less urgent work goes first
 * when its urgency has earned credit. Invariants:
 * <ul>
 * <li>Between calls, each waiting request is in exactly one of the two queues.</li>
 * <li>Work that the free engines do not suit keeps its turn.</li>
 * </ul>
 * Confined to its scheduler.
 */
final class DispatchOrder {

	/**
	 * Share of the slots that is reserved for each higher urgency in use, because bursts
	 * of urgent work arrive faster than slots become free. The routes of one urgency
	 * reserve none for each other: with nine levels in use, a fifth of the slots would
	 * stay free.
	 */
	static final double RESERVED_SLOTS_SHARE = 0.03;

	/**
	 * Time in milliseconds for which slots stay reserved for an urgency after its last
	 * request.
	 */
	static final long URGENCY_ACTIVE_MILLIS = 15_000;

	/**
	 * Engine time that less urgent waiting work earns for each unit of engine time that
	 * more urgent work uses, so that no urgency starves.
	 */
	static final double LOWER_URGENCY_SHARE = 0.2;

	/**
	 * Number of levels that get {@link #LOWER_URGENCY_SHARE} in full. If more are in use,
	 * they divide the shares of this number, so that most of the engine time stays with
	 * the urgent work.
	 */
	private static final int FULL_SHARE_LEVELS = 2;

	/** Largest credit of an urgency, in milliseconds of one slot. */
	static final double MAX_CREDIT_MILLIS = 3000;

	/**
	 * Most waiting work of one urgency that is passed over in a scheduling pass because
	 * the free engines do not suit it.
	 */
	static final int MAX_PASSED_OVER = 8;

	private final EnginePool pool;

	private final EngineChoice choice;

	private final WaitingQueue onTimeQueue = new WaitingQueue();

	/** Waiting work that can no longer meet its objective. */
	private final WaitingQueue lateQueue = new WaitingQueue();

	private final WaitMargin waitMargin = new WaitMargin();

	private final Map<String, PoolRequest> waiting = new HashMap<>();

	/** Slot time that an urgency may use before more urgent work, by urgency. */
	private final double[] creditMillis = new double[PoolPriority.LEVEL_COUNT];

	private final long[] urgencyLastOfferedAt = new long[PoolPriority.LEVEL_COUNT];

	private final ServedShares servedShares = new ServedShares();

	DispatchOrder(EnginePool pool, EngineChoice choice) {
		this.pool = pool;
		this.choice = choice;
		Arrays.fill(this.urgencyLastOfferedAt, Long.MIN_VALUE / 2);
	}

	// Records that work of an urgency was offered, whether or not it is enqueued.
	void onOffered(int level, long now) {
		this.urgencyLastOfferedAt[level] = now;
	}

	void enqueueOnTime(PoolRequest request, boolean atHead) {
		enqueue(this.onTimeQueue, request, atHead);
	}

	void enqueueLate(PoolRequest request, boolean atHead) {
		enqueue(this.lateQueue, request, atHead);
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

	// Moves work that can no longer meet its objective to the late queue; ignored if it
	// is there already.
	void moveToLate(Work work) {
		if (this.onTimeQueue.remove(work.id()) != null) {
			this.lateQueue.add(work);
			this.waitMargin.onMissed(work.urgency());
		}
	}

	void remove(String id) {
		this.waiting.remove(id);
		this.onTimeQueue.remove(id);
		this.lateQueue.remove(id);
	}

	// Returns the queue of work that is on time, whose backlog an estimate reads.
	WaitingQueue onTimeQueue() {
		return this.onTimeQueue;
	}

	// Returns the queue of late work, whose backlog an estimate reads.
	WaitingQueue lateQueue() {
		return this.lateQueue;
	}

	WaitMargin waitMargin() {
		return this.waitMargin;
	}

	ServedShares servedShares() {
		return this.servedShares;
	}

	boolean isWaiting(String id) {
		return this.waiting.containsKey(id);
	}

	boolean isLate(String id) {
		return this.lateQueue.contains(id);
	}

	// Returns a copy, so that requests may be removed during an iteration.
	Collection<PoolRequest> waiting() {
		return List.copyOf(this.waiting.values());
	}

	List<String> waitingOfHost(String host) {
		return this.waiting.values()
			.stream()
			.filter((request) -> request.host().equals(host))
			.map(PoolRequest::id)
			.toList();
	}

	int waitingCount() {
		return this.waiting.size();
	}

	// Whether a slot is free that is not reserved for work more urgent than this.
	boolean slotFree(int level, long now) {
		return this.pool.capacity(now).freeSlots > reservedSlots(level, now);
	}

	// Number of slots that work of a level must leave free for work of higher urgencies.
	private int reservedSlots(int level, long now) {
		long activeHigherUrgencies = IntStream.range(level + 1, PoolPriority.LEVEL_COUNT)
			.filter((higher) -> active(higher, now))
			.map(PoolPriority::urgencyOf)
			.filter((higher) -> higher > PoolPriority.urgencyOf(level))
			.distinct()
			.count();
		return (int) Math.round(this.pool.capacity(now).usableSlots * RESERVED_SLOTS_SHARE * activeHigherUrgencies);
	}

	private boolean active(int level, long now) {
		return now - this.urgencyLastOfferedAt[level] < URGENCY_ACTIVE_MILLIS;
	}

	// Share of the engine time of more urgent work that each less urgent level earns
	// while its work waits on time.
	double lowerUrgencyShare(long now) {
		long lowerLevels = IntStream.range(0, PoolPriority.LEVEL_COUNT).filter((level) -> active(level, now)).count()
				- 1;
		return LOWER_URGENCY_SHARE * Math.min(1, (double) FULL_SHARE_LEVELS / Math.max(1, lowerLevels));
	}

	// Dispatches waiting work to free slots and adds the grants to the decisions.
	void dispatch(long now, List<PoolDecision> decisions) {
		dispatchCredited(now, decisions);
		for (int level = PoolPriority.HIGHEST_LEVEL; level >= 0; level--) {
			if (!dispatchAll(this.onTimeQueue, level, now, decisions)
					|| !dispatchAll(this.lateQueue, level, now, decisions)) {
				break;
			}
		}
	}

	// Dispatches work whose urgency has earned enough credit to go before more urgent
	// work. It may use slots that are reserved for more urgent work.
	private void dispatchCredited(long now, List<PoolDecision> decisions) {
		for (int level = PoolPriority.HIGHEST_LEVEL - 1; level >= 0; level--) {
			Deque<Work> passedOver = new ArrayDeque<>();
			Work work = this.onTimeQueue.peek(level);
			while (work != null && this.creditMillis[level] >= creditNeeded(work, now)) {
				if (!dispatchNext(this.onTimeQueue, work, now, decisions)) {
					if (!boundToVersion(work)) {
						break;
					}
					passedOver.push(this.onTimeQueue.remove(work.id()));
				}
				work = this.onTimeQueue.peek(level);
			}
			passedOver.forEach(this.onTimeQueue::addFirst);
		}
	}

	// A request needs no more credit than a mean one of its level: larger ones would wait
	// for it beyond their objective.
	private double creditNeeded(Work work, long now) {
		double meanMillis = this.onTimeQueue.backlog(work.urgency()).meanSlotMillis(this.pool.capacity(now).speed());
		return Math.min(MAX_CREDIT_MILLIS, Math.min(meanMillis, this.pool.occupancyMillis(work, now)));
	}

	// Dispatches waiting work of one urgency. Work that the free engines do not suit is
	// passed over and keeps its turn; work that is bound to versions counts only as such,
	// however much of it waits. Returns true if less urgent work may be dispatched.
	private boolean dispatchAll(WaitingQueue queue, int level, long now, List<PoolDecision> decisions) {
		Deque<Work> passedOver = new ArrayDeque<>();
		int unsuited = 0;
		boolean lowerMayRun = true;
		for (Work work = queue.peek(level); work != null; work = queue.peek(level)) {
			if (!slotFree(level, now)) {
				lowerMayRun = false;
				break;
			}
			if (!dispatchNext(queue, work, now, decisions)) {
				if (!this.choice.someEngineAccepts(this.waiting.get(work.id()), now)) {
					lowerMayRun = false;
					break;
				}
				unsuited += boundToVersion(work) ? 0 : 1;
				if (unsuited > MAX_PASSED_OVER) {
					break;
				}
				passedOver.push(queue.remove(work.id()));
			}
		}
		passedOver.forEach(queue::addFirst);
		return lowerMayRun;
	}

	private boolean boundToVersion(Work work) {
		return !this.waiting.get(work.id()).versions().any();
	}

	private boolean dispatchNext(WaitingQueue queue, Work work, long now, List<PoolDecision> decisions) {
		PoolRequest request = this.waiting.get(work.id());
		EngineState engine = this.choice.choose(request, queue == this.onTimeQueue, now);
		if (engine == null) {
			return false;
		}
		queue.poll(work.urgency());
		if (queue == this.onTimeQueue && now > work.arrivalMillis()) {
			this.waitMargin.onServed(work.urgency());
		}
		remove(work.id());
		transferCredit(work, this.pool.occupancyMillis(work, now), lowerUrgencyShare(now));
		this.servedShares.onDispatched(work.urgency(), now);
		decisions.add(this.pool.dispatch(request, engine, queue == this.lateQueue, now));
		return true;
	}

	// Charges dispatched work to the credit of its urgency, and credits a share of its
	// slot time to each lower urgency that has work waiting on time.
	private void transferCredit(Work work, double occupancyMillis, double share) {
		this.creditMillis[work.urgency()] = Math.max(0, this.creditMillis[work.urgency()] - occupancyMillis);
		for (int lower = 0; lower < work.urgency(); lower++) {
			if (this.onTimeQueue.peek(lower) != null) {
				this.creditMillis[lower] = Math.min(MAX_CREDIT_MILLIS,
						this.creditMillis[lower] + occupancyMillis * share);
			}
		}
	}

}
