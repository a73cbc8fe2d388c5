package carawayswitch.schedule;

import java.util.Comparator;

/**
 * Choice of the engine of a pool that a request is dispatched to: the one of lowest cost
 * among those that may take it. Changes no engine. Confined to its scheduler.
 */
final class EngineChoice {

	/** Cost of an engine in another availability zone, in milliseconds. */
	static final double CROSS_ZONE_COST_MILLIS = 4;

	private final EnginePool pool;

	private CrossZoneCost crossZoneCost = CrossZoneCost.CONSTANT;

	EngineChoice(EnginePool pool) {
		this.pool = pool;
	}

	void crossZoneCost(CrossZoneCost cost) {
		this.crossZoneCost = cost;
	}

	boolean someEngineUsable(PoolRequest request, long now) {
		return request.versions().any() ? this.pool.capacity(now).usableSlots > 0
				: this.pool.engines()
					.stream()
					.anyMatch((candidate) -> candidate.eligible(request) && candidate.usable(now));
	}

	// Whether an engine of any version has room for the request.
	boolean someEngineAccepts(PoolRequest request, long now) {
		return this.pool.engines().stream().anyMatch((candidate) -> candidate.accepts(request.work(), now));
	}

	boolean noEngineEligible(PoolRequest request) {
		return this.pool.engines().stream().noneMatch((state) -> state.accepting && state.eligible(request));
	}

	// Returns the engine of lowest cost that can take the request now, or null. Excluded
	// engines are considered only if no other engine is usable, and engines that cannot
	// finish before the client's deadline only if the fastest one cannot either. For
	// work that is on time, an engine must also be smooth if the fastest one is.
	EngineState choose(PoolRequest request, boolean onTime, long now) {
		EngineState best = null;
		double bestCostMillis = Double.MAX_VALUE;
		boolean alternativeUsable = this.pool.engines()
			.stream()
			.anyMatch((candidate) -> candidate.eligible(request) && candidate.usable(now)
					&& !request.excluded().contains(candidate.engine.id()));
		EngineState fastest = fastest(request, now);
		boolean mustFinish = fastest != null && fastest.finishes(request, now);
		boolean mustBeSmooth = onTime && fastest != null && fastest.smooth(request);
		for (EngineState candidate : this.pool.engines()) {
			boolean allowed = candidate.eligible(request)
					&& (!alternativeUsable || !request.excluded().contains(candidate.engine.id()))
					&& (!mustFinish || candidate.finishes(request, now))
					&& (!mustBeSmooth || candidate.smooth(request));
			if (allowed && candidate.accepts(request.work(), now)) {
				double costMillis = costMillis(candidate, request, now);
				if (costMillis < bestCostMillis) {
					best = candidate;
					bestCostMillis = costMillis;
				}
			}
		}
		return best;
	}

	// Returns the usable engine of an eligible version with the shortest time per output
	// token, or null.
	private EngineState fastest(PoolRequest request, long now) {
		if (request.versions().any()) {
			return this.pool.capacity(now).fastest;
		}
		return this.pool.engines()
			.stream()
			.filter((candidate) -> candidate.eligible(request) && candidate.usable(now))
			.min(Comparator.comparingDouble((candidate) -> candidate.speed.decodeMillisPerToken()))
			.orElse(null);
	}

	// Returns the cost in milliseconds by which the engines that may take a request are
	// compared. All parts of the cost are added here. It is infinite for an engine that
	// the request is not dispatched to now.
	private double costMillis(EngineState candidate, PoolRequest request, long now) {
		return candidate.costMillis(request.work()) + this.crossZoneCost.extraMillis(request, candidate.engine, now);
	}

}
