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
	static final double RESERVE_SHARE = 0.05;

	/** Wait of more urgent work in milliseconds above which the reserve is zero. */
	static final double RESERVE_MAX_WAIT_MILLIS = 300;

	/**
	 * Wait of protected work in milliseconds after which less urgent work is preempted.
	 */
	static final long PREEMPT_AFTER_MILLIS = 150;

	/** Lowest urgency that may use all of the concurrency limit. */
	static final int FULL_LIMIT_URGENCY = 3;

	/** Service times that must fit before the deadline when work arrives. */
	static final double ADMISSION_MARGIN = 1.7;

	/** Service times that must fit before the deadline when work is dispatched. */
	static final double DISPATCH_MARGIN = 1.4;

	/** Share of its time that protected work must have left at most. */
	static final double PROTECTED_SHARE = 0.8;

	/** Time in milliseconds for which work yields after it was told to. */
	static final long YIELD_MILLIS = 1500;

	private static final double LOWER_LIMIT_SHARE = 0.85;

	private static final double STALL_FACTOR = 4;

	private static final double KV_SHARE = 0.95;

	private final String id;

	private final boolean engine;

	private final Bounds bounds;

	private final int kvTokens;

	private final FairQueue queue = new FairQueue();

	private final Map<String, RunningWork> running = new HashMap<>();

	/** Work that cannot meet its deadline and has not been dropped yet. */
	private final Map<String, Work> late = new LinkedHashMap<>();

	private final ConcurrencyLimit limit;

	private final SpeedEstimate speed = new SpeedEstimate();

	private final PrefixCacheEstimate cache;

	private final int concurrency;

	private long kvPromised;

	private final RiskWatch risk = new RiskWatch();

	/** Urgency below which work yields, since protected work is at risk here, or 0. */
	private int ownYield;

	/** The same of other endpoints. */
	private final Map<String, Told> told = new HashMap<>();

	private double reserveCredit;

	private boolean leaving;

	/**
	 * Creates a scheduler.
	 * @param id id of the endpoint
	 * @param endpoint the endpoint
	 * @param engine true for an engine, false for a plain service
	 * @param bounds bounds of the queue
	 */
	public EndpointScheduler(String id, Endpoint endpoint, boolean engine, Bounds bounds) {
		this.id = id;
		this.engine = engine;
		this.bounds = bounds;
		this.concurrency = endpoint.concurrency();
		this.kvTokens = endpoint.kvTokens();
		this.limit = new ConcurrencyLimit(endpoint.concurrency());
		this.cache = new PrefixCacheEstimate(endpoint.kvTokens());
		this.leaving = endpoint.leaving();
	}

	/**
	 * Queues work or refuses it.
	 * @param work the work
	 * @param now time in milliseconds
	 * @return the result
	 */
	public Offer offer(Work work, long now) {
		if (this.leaving) {
			return Offer.refused(ErrorKind.NO_ENDPOINT, 0);
		}
		double wait = waitMillis(work);
		if (work.urgency() < yieldBelow(now)) {
			return Offer.refused(ErrorKind.OVERLOADED, (long) wait);
		}
		boolean late = now + wait + neededMillis(work, ADMISSION_MARGIN) > work.deadlineMillis();
		boolean refused = late || wait > this.bounds.maxWaitMillis();
		if (refused && mayShed(work)) {
			return Offer.refused(late ? ErrorKind.DEADLINE_CANNOT_BE_MET : ErrorKind.OVERLOADED, (long) wait);
		}
		List<Work> dropped = new ArrayList<>();
		if (refused) {
			dropLower(work.urgency(), dropped);
		}
		if (!makeRoom(work, dropped)) {
			return Offer.refused(ErrorKind.OVERLOADED, (long) wait);
		}
		this.queue.add(work);
		this.risk.queued(work);
		return Offer.accepted(dropped);
	}

	private int yieldBelow(long now) {
		int highest = this.ownYield;
		for (Told each : this.told.values()) {
			highest = Math.max(highest, (now < each.until()) ? each.urgency() : 0);
		}
		return highest;
	}

	/**
	 * Tells whether protected work is at risk at another endpoint that serves the same,
	 * so that less urgent work yields here too. Holds until the next word of that
	 * endpoint, but not for long.
	 * @param endpoint id of the endpoint
	 * @param urgency urgency below which work yields, or 0
	 * @param now time in milliseconds
	 */
	public void yieldBelow(String endpoint, int urgency, long now) {
		if (urgency > 0) {
			this.told.put(endpoint, new Told(urgency, now + YIELD_MILLIS));
		}
		else {
			this.told.remove(endpoint);
		}
	}

	private boolean waits(Work work) {
		return this.queue.holds(work) || this.late.get(work.id()) == work;
	}

	private boolean mayShed(Work work) {
		return work.pressure() != PressurePolicy.PROTECT || !lowerWorkPresent(work.urgency());
	}

	private void dropLower(int urgency, List<Work> dropped) {
		for (Work lower = this.queue.dropCandidate(urgency); lower != null; lower = this.queue.dropCandidate(urgency)) {
			this.queue.remove(lower.id());
			dropped.add(lower);
		}
	}

	private boolean makeRoom(Work work, List<Work> dropped) {
		while (this.queue.bytes() + work.bytes() > this.bounds.maxBytes()) {
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

	private boolean lowerWorkPresent(int urgency) {
		int lowest = lowestUrgency();
		return lowest >= 0 && lowest < urgency;
	}

	private int lowestUrgency() {
		int lowest = this.queue.lowestUrgency();
		for (RunningWork work : this.running.values()) {
			lowest = (lowest < 0) ? work.work.urgency() : Math.min(lowest, work.work.urgency());
		}
		return lowest;
	}

	private double waitMillis(Work work) {
		if (this.queue.size() == 0 && this.running.size() < limitFor(work.urgency())) {
			return 0;
		}
		return this.queue.costAhead(work) * this.speed.millisPerToken() / limit();
	}

	private double serviceMillis(Work work) {
		int uncached = work.promptTokens() - this.cache.cachedTokens(work);
		return this.speed.serviceMillis(uncached, this.engine ? work.expectedTokens() : 1);
	}

	/**
	 * Takes the next work to dispatch. The caller must dispatch it and report its
	 * progress.
	 * @param now time in milliseconds
	 * @return the work, or null if nothing may be dispatched
	 */
	public Work next(long now) {
		while (true) {
			int urgency = pickUrgency();
			if (urgency < 0 || this.running.size() >= limitFor(urgency)) {
				return null;
			}
			Work work = this.queue.peek(urgency);
			if (hopeless(work, now)) {
				setAside(work);
				continue;
			}
			if (!fitsKv(work)) {
				return null;
			}
			this.queue.poll(urgency);
			start(work, urgency, now);
			return work;
		}
	}

	/**
	 * Takes work that cannot meet its deadline out of the queue. Work that may not be
	 * shed yet is kept until it may be.
	 * @param work the work
	 */
	private void setAside(Work work) {
		this.queue.remove(work.id());
		this.late.put(work.id(), work);
	}

	private void start(Work work, int urgency, long now) {
		int highest = this.queue.highestUrgency();
		if (highest > urgency) {
			this.reserveCredit -= work.cost();
		}
		else if (this.queue.lowestUrgency() >= 0 && this.queue.lowestUrgency() < urgency) {
			this.reserveCredit += work.cost() * RESERVE_SHARE;
		}
		int cached = this.cache.cachedTokens(work);
		this.cache.onDispatched(work);
		this.running.put(work.id(), new RunningWork(work, now, work.promptTokens() - cached));
		this.kvPromised += work.kvTokens();
	}

	private int pickUrgency() {
		int highest = this.queue.highestUrgency();
		int lowest = this.queue.lowestUrgency();
		if (highest <= lowest) {
			return highest;
		}
		double waiting = this.queue.levelCost(highest) * this.speed.millisPerToken() / limit();
		for (int urgency = highest - 1; urgency >= lowest; urgency--) {
			Work work = this.queue.peek(urgency);
			if (work != null && waiting < RESERVE_MAX_WAIT_MILLIS && this.reserveCredit >= work.cost()
					&& this.running.size() < limitFor(urgency)) {
				return urgency;
			}
		}
		return highest;
	}

	private boolean hopeless(Work work, long now) {
		return now + neededMillis(work, DISPATCH_MARGIN) > work.deadlineMillis();
	}

	/**
	 * Returns the time that must be left for work. Protected work is given a try while
	 * enough of its own time is left, however long its answer may be.
	 * @param work the work
	 * @param margin number of service times
	 * @return time in milliseconds
	 */
	private double neededMillis(Work work, double margin) {
		double needed = serviceMillis(work) * margin;
		boolean protectedWork = work.pressure() == PressurePolicy.PROTECT;
		double most = (work.deadlineMillis() - work.arrivalMillis()) * PROTECTED_SHARE;
		return protectedWork ? Math.min(needed, most) : needed;
	}

	private boolean fitsKv(Work work) {
		boolean unlimited = this.kvTokens == 0 || this.running.isEmpty();
		return unlimited || this.kvPromised + work.kvTokens() <= this.kvTokens * KV_SHARE;
	}

	private int limit() {
		return this.engine ? this.limit.limit() : this.concurrency;
	}

	private int limitFor(int urgency) {
		boolean full = urgency >= FULL_LIMIT_URGENCY || !this.engine;
		return full ? limit() : Math.max(1, (int) (limit() * LOWER_LIMIT_SHARE));
	}

	/**
	 * Chooses running work to stop so that waiting protected work can start. The caller
	 * must stop it and call {@link #preempted}.
	 * @param now time in milliseconds
	 * @return the work, or null
	 */
	public Work victim(long now) {
		int urgency = this.queue.highestUrgency();
		Work head = (urgency >= 0) ? this.queue.peek(urgency) : null;
		boolean urgent = head != null && head.pressure() == PressurePolicy.PROTECT
				&& now - head.arrivalMillis() >= PREEMPT_AFTER_MILLIS;
		boolean full = this.running.size() >= limitFor(urgency) || head != null && !fitsKv(head);
		if (!urgent || !full || this.running.values().stream().anyMatch((work) -> work.stopping)) {
			return null;
		}
		RunningWork victim = this.running.values()
			.stream()
			.filter((work) -> work.preemptible(urgency))
			.min(Comparator.<RunningWork>comparingInt((work) -> work.work.urgency())
				.thenComparing((work) -> work.firstTokenAt >= 0)
				.thenComparing(Comparator.comparingInt((RunningWork work) -> work.tokens).reversed())
				.thenComparing((work) -> work.work.id()))
			.orElse(null);
		if (victim == null) {
			return null;
		}
		victim.stopping = true;
		return victim.work;
	}

	/**
	 * Puts preempted work back at the front of its queue.
	 * @param workId id of the work
	 * @param remaining the work with what remains of it
	 * @param now time in milliseconds
	 */
	public void preempted(String workId, Work remaining, long now) {
		RunningWork stopped = this.running.remove(workId);
		if (stopped != null) {
			this.kvPromised -= stopped.work.kvTokens();
			this.queue.addFirst(remaining);
			this.risk.queued(remaining);
			this.limit.adjust(this.running.size(), now);
		}
	}

	/**
	 * Records that an answer made progress.
	 * @param workId id of the work
	 * @param tokens number of tokens received so far
	 * @param now time in milliseconds
	 */
	public void progressed(String workId, int tokens, long now) {
		RunningWork work = this.running.get(workId);
		if (work == null || tokens <= work.tokens) {
			return;
		}
		if (work.firstTokenAt < 0) {
			work.firstTokenAt = now;
			long millis = now - work.dispatchedAt;
			this.speed.onFirstToken(work.uncachedTokens, millis);
			this.limit.onFirstToken(millis);
		}
		else {
			int received = tokens - work.tokens;
			this.speed.onTokens(received, now - work.lastTokenAt);
			this.limit.onTokenInterval((double) (now - work.lastTokenAt) / received);
		}
		work.tokens = tokens;
		work.lastTokenAt = now;
		this.limit.adjust(this.running.size(), now);
	}

	/**
	 * Records that an attempt ended, in whatever way.
	 * @param workId id of the work
	 * @param now time in milliseconds
	 * @return the number of tokens received, or -1 if the work did not run
	 */
	public int finished(String workId, long now) {
		RunningWork work = this.running.remove(workId);
		if (work == null) {
			return -1;
		}
		this.kvPromised -= work.work.kvTokens();
		if (!this.engine) {
			this.speed.onTokens(1, Math.max(1, now - work.dispatchedAt));
		}
		double trueCost = 1 + work.work.promptTokens() * Work.PROMPT_TOKEN_COST + work.tokens;
		this.queue.correct(work.work, trueCost);
		this.limit.adjust(this.running.size(), now);
		return work.tokens;
	}

	/**
	 * Removes work that has not been dispatched.
	 * @param workId id of the work
	 * @return true if the work was queued
	 */
	public boolean cancelQueued(String workId) {
		return this.queue.remove(workId) != null || this.late.remove(workId) != null;
	}

	/**
	 * Returns and forgets work that was dropped because its deadline cannot be met.
	 * @param now time in milliseconds
	 * @return the dropped work
	 */
	public List<Work> takeExpired(long now) {
		for (int urgency = 0; urgency < Tier.URGENCIES; urgency++) {
			Work head = this.queue.peek(urgency);
			while (head != null && hopeless(head, now)) {
				setAside(head);
				head = this.queue.peek(urgency);
			}
		}
		this.ownYield = this.risk.highestUrgency(this::waits, now);
		int below = yieldBelow(now);
		List<Work> taken = new ArrayList<>();
		if (this.queue.lowestUrgency() >= 0 && this.queue.lowestUrgency() < below) {
			this.queue.all().stream().filter((work) -> work.urgency() < below).forEach(taken::add);
		}
		this.late.values()
			.stream()
			.filter((work) -> now >= work.deadlineMillis() || mayShed(work) || work.urgency() < below)
			.forEach(taken::add);
		taken.forEach((work) -> cancelQueued(work.id()));
		return taken;
	}

	/**
	 * Stops or resumes taking new work.
	 * @param value true to refuse new work
	 */
	public void leaving(boolean value) {
		this.leaving = value;
	}

	/**
	 * Returns all queued work, for refusal when the endpoint goes away.
	 * @return queued work
	 */
	public List<Work> queued() {
		List<Work> queued = this.queue.all();
		queued.addAll(this.late.values());
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
		List<Integer> queued = new ArrayList<>(Tier.URGENCIES);
		for (int urgency = 0; urgency < Tier.URGENCIES; urgency++) {
			queued.add((int) (this.queue.levelCost(urgency) * millisPerToken / limit()));
		}
		return new EndpointDigest(this.id, queued, this.running.size(), lowestUrgency(), limit(), this.leaving,
				millisPerToken, this.speed.prefillMillis(1), this.ownYield);
	}

	private double effectiveMillisPerToken(long now) {
		double silence = this.running.values()
			.stream()
			.filter((work) -> work.firstTokenAt >= 0)
			.mapToLong((work) -> now - work.lastTokenAt)
			.average()
			.orElse(0);
		double usual = this.speed.millisPerToken();
		return (silence > usual * STALL_FACTOR) ? silence : usual;
	}

	/**
	 * Urgency below which work yields to another endpoint's. Immutable.
	 *
	 * @param urgency the urgency
	 * @param until time until which this holds in milliseconds
	 */
	private record Told(int urgency, long until) {

	}

	/**
	 * Bounds of a queue. Immutable.
	 *
	 * @param maxBytes bytes of queued bodies
	 * @param maxWaitMillis estimated wait in milliseconds above which work is refused
	 */
	public record Bounds(long maxBytes, long maxWaitMillis) {

	}

}
