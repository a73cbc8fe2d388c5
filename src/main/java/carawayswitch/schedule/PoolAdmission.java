package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission of place requests to a pool: each is queued on time, queued late or rejected,
 * by its estimated wait and the load of its urgency. Each rejection is returned once by
 * {@link #takeRejections}. Confined to its scheduler.
 */
final class PoolAdmission {

	/**
	 * Largest share of the time to the deadline that the estimated wait may take; late
	 * work that would wait longer is rejected.
	 */
	static final double MAX_WAIT_SHARE = 0.8;

	/**
	 * Time constant in milliseconds of the exponentially decaying demand of an urgency.
	 * Bursts last seconds, so it must be of that order.
	 */
	static final double DEMAND_AVERAGING_MILLIS = 1500;

	/**
	 * Largest advised retry delay as a share of the time to the client's deadline;
	 * clients ignore a delay beyond a third of that time.
	 */
	static final double MAX_RETRY_AFTER_SHARE = 0.32;

	/**
	 * Largest share of an objective that is reserved for the time to the first event,
	 * however long the prompt is.
	 */
	static final double MAX_FIRST_EVENT_SHARE = 0.6;

	/**
	 * Time in milliseconds within which a request with the return key of a rejected one
	 * counts as its retry.
	 */
	static final long REJECTION_RETENTION_MILLIS = 12_000;

	/** Most rejections that are kept to detect retries; the oldest are evicted. */
	private static final int MAX_REJECTIONS = 10_000;

	/** Shortest advised retry delay in milliseconds. */
	static final long MIN_RETRY_AFTER_MILLIS = 100;

	private final EnginePool pool;

	private final EngineChoice choice;

	private final DispatchOrder order;

	/** Times of recent rejections by return key. */
	private final Map<String, Long> rejectedAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REJECTIONS;
		}
	};

	/**
	 * Decaying sum of the slot time that offered work needs, by urgency, as of
	 * {@link #demandUpdatedAt}.
	 */
	private final double[] demandMillis = new double[PoolPriority.LEVEL_COUNT];

	private long demandUpdatedAt;

	private final List<PoolDecision> undeliveredRejections = new ArrayList<>();

	PoolAdmission(EnginePool pool, EngineChoice choice, DispatchOrder order) {
		this.pool = pool;
		this.choice = choice;
		this.order = order;
	}

	// Enqueues or rejects a request that neither waits nor runs.
	void offer(PoolRequest request, long now) {
		Work work = request.work();
		this.order.onOffered(work.urgency(), now);
		if (!this.choice.someEngineUsable(request, now)) {
			reject(request, EndpointHealth.INITIAL_BACKOFF_MILLIS, "no_engine", now);
			return;
		}
		if (request.resumed()) {
			this.order.enqueueOnTime(request, true);
			return;
		}
		boolean isRetry = removeRejection(request, now);
		if (!isRetry) {
			decayDemand(now);
			this.demandMillis[work.urgency()] += this.pool.occupancyMillis(work, now);
			this.order.servedShares().onOffered(work.urgency(), now);
		}
		boolean engineFree = this.order.slotFree(work.urgency(), now) && this.choice.choose(request, true, now) != null;
		double waitMillis = engineFree ? 0 : estimateWaitMillis(work, this.order.onTimeQueue(), now);
		double lateWaitMillis = waitMillis + estimateWaitMillis(work, this.order.lateQueue(), now);
		double maxWaitMillis = (work.deadlineMillis() - now) * MAX_WAIT_SHARE;
		double margin = overloaded(work.urgency(), now) ? this.order.waitMargin().factor(work.urgency())
				: WaitMargin.MIN_FACTOR;
		boolean onTime = !isRetry
				&& now + waitMillis * margin + firstEventReserveMillis(request, now) <= request.objectiveAt();
		if (onTime) {
			this.order.enqueueOnTime(request, false);
		}
		else if (lateWaitMillis < maxWaitMillis && !overloaded(work.urgency(), now)) {
			this.order.enqueueLate(request, isRetry);
		}
		else {
			reject(request, retryAfterMillis(request, lateWaitMillis, now),
					"wait_" + (long) waitMillis + "_late_" + (long) lateWaitMillis, now);
		}
	}

	// Enqueues a request whose grant was taken back, at the head of its organisation. It
	// was counted as demand and its retry was recognised when it was first offered.
	void offerAgain(PoolRequest request, boolean late, long now) {
		this.order.onOffered(request.work().urgency(), now);
		if (!this.choice.someEngineUsable(request, now)) {
			reject(request, EndpointHealth.INITIAL_BACKOFF_MILLIS, "no_engine", now);
		}
		else if (request.resumed() || !late && now + firstEventReserveMillis(request, now) <= request.objectiveAt()) {
			this.order.enqueueOnTime(request, true);
		}
		else {
			this.order.enqueueLate(request, true);
		}
	}

	// Rejects work that is past its deadline, work whose versions have no engine any more
	// and, in overload, work that is late. Moves other work that can no longer meet its
	// objective to the late queue.
	void expireWaiting(long now) {
		boolean[] overloaded = new boolean[PoolPriority.LEVEL_COUNT];
		for (int level = 0; level < overloaded.length; level++) {
			overloaded[level] = overloaded(level, now);
		}
		for (PoolRequest request : this.order.waiting()) {
			Work work = request.work();
			if (!request.versions().any() && this.choice.noEngineEligible(request)) {
				this.order.remove(work.id());
				reject(request, EndpointHealth.INITIAL_BACKOFF_MILLIS, "no_engine_of_version", now);
				continue;
			}
			boolean lateInOverload = overloaded[work.urgency()] && this.order.isLate(work.id());
			if (now >= work.deadlineMillis() || lateInOverload) {
				long retryAfterMillis = retryAfterMillis(request, MIN_RETRY_AFTER_MILLIS, now);
				this.order.remove(work.id());
				reject(request, retryAfterMillis, lateInOverload ? "late_in_overload" : "waited_too_long", now);
			}
			else if (!request.resumed() && now + firstEventReserveMillis(request, now) > request.objectiveAt()) {
				this.order.moveToLate(work);
			}
		}
	}

	// Drops a rejection that was not returned, since the work is not awaited any more or
	// is offered anew.
	void withdraw(String id) {
		this.undeliveredRejections.removeIf((decision) -> decision.request().id().equals(id));
	}

	// Returns the rejections since the last call.
	List<PoolDecision> takeRejections() {
		List<PoolDecision> rejections = new ArrayList<>(this.undeliveredRejections);
		this.undeliveredRejections.clear();
		return rejections;
	}

	private boolean overloaded(int level, long now) {
		return offeredLoad(level, now) >= 1;
	}

	// In overload a client that retries only once has the best chance if it retries as
	// late as it can, so the longest delay is advised, except for the rest of a stream,
	// which goes before new work.
	private long retryAfterMillis(PoolRequest request, double waitMillis, long now) {
		double maxMillis = Math.max(0, request.clientDeadlineAt() - now) * MAX_RETRY_AFTER_SHARE;
		double wantedMillis = (overloaded(request.work().urgency(), now) && !request.resumed()) ? maxMillis
				: waitMillis;
		return Math.max(MIN_RETRY_AFTER_MILLIS, (long) Math.min(maxMillis, wantedMillis));
	}

	private void reject(PoolRequest request, long retryAfterMillis, String reason, long now) {
		if (!request.returnKey().isEmpty()) {
			this.rejectedAt.put(request.returnKey(), now);
		}
		this.undeliveredRejections.add(new PoolDecision(request, null, retryAfterMillis, reason));
	}

	// Removes the stored rejection of a request. Returns whether it is recent enough for
	// the request to count as a retry.
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

	// Ratio of the slot time that recent work of this urgency and above needs to the
	// engines' capacity; 1 is full load.
	private double offeredLoad(int level, long now) {
		decayDemand(now);
		double sumMillis = 0;
		for (int i = level; i < this.demandMillis.length; i++) {
			sumMillis += this.demandMillis[i];
		}
		return sumMillis / DEMAND_AVERAGING_MILLIS / Math.max(1, this.pool.capacity(now).effectiveSlots);
	}

	// Time before the objective at which work must start to meet it: the expected time to
	// the first event. It is capped so that a prompt too long to be prefilled in time is
	// not treated as late on arrival and is served like a short one.
	private double firstEventReserveMillis(PoolRequest request, long now) {
		EngineState fastest = this.pool.capacity(now).fastest;
		double firstEventMillis = (fastest != null) ? fastest.speed.firstEventMillis(request.work().promptTokens()) : 0;
		return Math.min(firstEventMillis,
				(request.objectiveAt() - request.work().arrivalMillis()) * MAX_FIRST_EVENT_SHARE);
	}

	// Time until work would start if all work of a queue that goes before it were served
	// first. Fair queueing lets each other organisation go before it with at most as much
	// work as its own organisation has waiting, including the new work. Work that is on
	// time starts sooner if the share that its level earns serves its level sooner.
	private double estimateWaitMillis(Work work, WaitingQueue queue, long now) {
		int level = work.urgency();
		PoolCapacity current = this.pool.capacity(now);
		double higherMillis = 0;
		for (int higher = level + 1; higher < PoolPriority.LEVEL_COUNT; higher++) {
			higherMillis += queue.backlog(higher).slotMillis(current.speed());
		}
		// The start of a request doesn't depend on its own length, so that the new work
		// counts like a mean one if it is longer.
		double ownMillis = queue.backlog(level, work.organisation()).slotMillis(current.speed())
				+ Math.min(this.pool.occupancyMillis(work, now), queue.backlog(level).meanSlotMillis(current.speed()));
		double levelMillis = 0;
		for (Map.Entry<String, WaitingQueue.Backlog> entry : queue.backlogByOrganisation(level).entrySet()) {
			double organisationMillis = entry.getValue().slotMillis(current.speed());
			levelMillis += entry.getKey().equals(work.organisation()) ? organisationMillis
					: Math.min(organisationMillis, ownMillis);
		}
		double higherLoad = (level < PoolPriority.HIGHEST_LEVEL) ? offeredLoad(level + 1, now) : 0;
		double share = this.order.lowerUrgencyShare(now);
		double byPriority = (higherMillis + levelMillis) / Math.max(share, 1 - higherLoad);
		boolean mayUseShare = queue == this.order.onTimeQueue()
				&& this.order.servedShares().behindMoreUrgent(level, now);
		double byShare = mayUseShare ? levelMillis / share : byPriority;
		return Math.min(byPriority, byShare) / Math.max(1, current.effectiveSlots);
	}

}
