package carawayswitch.zone;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import carawayswitch.schedule.CrossZoneCost;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolRequest;

/**
 * Applies a {@link ZoneTrafficPolicy} to the choice of an engine. Work whose turn it is
 * to leave prefers its target zone by what leaving saves; any other pays the cost of the
 * path, and stays for as much as engines differ by their momentary load. While leaving
 * does not pay, work waits a short time for an engine of its own zone before it takes one
 * in another. Invariants:
 * <ul>
 * <li>Work waits for its own zone at most an eighth of the time to its objective, counted
 * from the first engine that it was not given, and only while as much is left.</li>
 * <li>At most {@link #MAX_HELD} pieces of work are held at a time, so that the scheduler
 * passes them over and serves the work behind them.</li>
 * <li>Work that no engine of its zone may run, and the rest of a stream, is not
 * held.</li>
 * </ul>
 * Times are milliseconds. Does no I/O. Not safe for use by several threads.
 */
public final class EngineZoneTraffic implements CrossZoneCost {

	/**
	 * Most pieces of work that are held in one pass; fewer than a scheduling pass passes
	 * over at one level (DispatchOrder.MAX_PASSED_OVER), so that the work behind them is
	 * reached.
	 */
	static final int MAX_HELD = 6;

	/** Largest share of the time to its objective for which work is held. */
	static final double MAX_HELD_SHARE = 0.125;

	/**
	 * Largest advantage in milliseconds of an engine in the target zone. A slow engine
	 * takes longer by more than that, so that speed still decides.
	 */
	static final double MAX_ADVANTAGE_MILLIS = 200;

	/**
	 * Advantage of the own zone for work whose turn it is not, as a share of its slot
	 * time. Engines decode by up to a fifth slower when they are full; that evens out
	 * within an answer and is no reason to leave.
	 */
	static final double STAY_SHARE = 0.2;

	private final ZoneTrafficPolicy policy;

	private int tokensPerEvent = 1;

	private Map<String, List<PoolEngine>> enginesByZone = Map.of();

	/** Times at which waiting work was first held, by id. */
	private final Map<String, Long> heldSince = new HashMap<>();

	/** Work that is held in the present pass. */
	private final Set<String> held = new HashSet<>();

	private long heldAt;

	private PoolRequest decided;

	private long decidedAt;

	private Departure departure;

	private double stayMillis;

	private boolean waits;

	/**
	 * Creates the cost function of one pool.
	 * @param policy the policy of its service
	 */
	public EngineZoneTraffic(ZoneTrafficPolicy policy) {
		this.policy = policy;
	}

	/**
	 * Returns the policy.
	 * @return the policy of the service
	 */
	public ZoneTrafficPolicy policy() {
		return this.policy;
	}

	/**
	 * Replaces the engines that accept work.
	 * @param engines the engines
	 * @param newTokensPerEvent number of tokens in an event of the service
	 */
	public void engines(Collection<PoolEngine> engines, int newTokensPerEvent) {
		Map<String, List<PoolEngine>> byZone = new HashMap<>();
		Map<String, Integer> slots = new HashMap<>();
		for (PoolEngine engine : engines) {
			byZone.computeIfAbsent(engine.zone(), (zone) -> new ArrayList<>()).add(engine);
			slots.merge(engine.zone(), engine.slots(), Integer::sum);
		}
		this.enginesByZone = byZone;
		this.tokensPerEvent = Math.max(1, newTokensPerEvent);
		this.decided = null;
		this.policy.supply(slots);
	}

	/**
	 * Records that work was offered.
	 * @param request the place request
	 * @param now time in milliseconds
	 */
	public void onOffered(PoolRequest request, long now) {
		this.policy.onOffered(request.id(), request.zone(), WorkSize.ofEngineWork(request.work(), this.tokensPerEvent),
				now);
	}

	/**
	 * Records that work was dispatched.
	 * @param id id of the work
	 * @param zone zone of the engine
	 * @param now time in milliseconds
	 */
	public void onDispatched(String id, String zone, long now) {
		this.heldSince.remove(id);
		this.policy.onDispatched(id, zone, now);
	}

	/**
	 * Records the end of work, or that it was withdrawn or rejected.
	 * @param id id of the work
	 * @param answered true if it has run to its end
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, boolean answered, long now) {
		this.heldSince.remove(id);
		this.policy.onEnded(id, answered, now);
	}

	@Override
	public double extraMillis(PoolRequest request, PoolEngine candidate, long now) {
		if (candidate.zone().equals(request.zone())) {
			return 0;
		}
		if (request != this.decided || now != this.decidedAt) {
			decide(request, now);
		}
		if (this.waits) {
			return Double.POSITIVE_INFINITY;
		}
		return this.departure.target().equals(candidate.zone())
				? Math.max(-MAX_ADVANTAGE_MILLIS, this.departure.costMillis() - this.departure.gainMillis())
				: this.departure.costMillis() + this.stayMillis;
	}

	private void decide(PoolRequest request, long now) {
		if (now != this.heldAt) {
			this.heldAt = now;
			this.held.clear();
		}
		this.decided = request;
		this.decidedAt = now;
		WorkSize size = WorkSize.ofEngineWork(request.work(), this.tokensPerEvent);
		this.departure = this.policy.decide(request.id(), request.zone(), size, now);
		this.stayMillis = size.units() * STAY_SHARE;
		this.waits = mayWait(request, now) && (this.held.contains(request.id()) || this.held.size() < MAX_HELD);
		if (this.waits) {
			this.held.add(request.id());
			this.heldSince.putIfAbsent(request.id(), now);
		}
	}

	// Work waits for its own zone as long as leaving costs: then it has lost at most
	// twice what the better choice would have cost.
	private boolean mayWait(PoolRequest request, long now) {
		double maxMillis = (request.objectiveAt() - request.work().arrivalMillis()) * MAX_HELD_SHARE;
		long heldMillis = now - this.heldSince.getOrDefault(request.id(), now);
		return !this.departure.pays() && !request.resumed()
				&& heldMillis < Math.min(this.departure.costMillis(), maxMillis)
				&& request.objectiveAt() - now >= maxMillis
				&& this.enginesByZone.getOrDefault(request.zone(), List.of())
					.stream()
					.anyMatch((engine) -> request.versions().contains(engine.version())
							&& !request.excluded().contains(engine.id()));
	}

}
