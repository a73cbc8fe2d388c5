package carawayswitch.schedule;

import java.util.Collection;

/**
 * Capacity of the usable engines at one time. Confined to its scheduler.
 */
final class PoolCapacity {

	/** Usable engine with the shortest time per output token, or null. */
	final EngineState fastest;

	final int usableSlots;

	/**
	 * Number of slots of the fastest engine that have the same throughput as the slots of
	 * all usable engines.
	 */
	final double effectiveSlots;

	int freeSlots;

	PoolCapacity(Collection<EngineState> engines, long now) {
		EngineState best = null;
		int usable = 0;
		double slotsPerToken = 0;
		for (EngineState state : engines) {
			if (state.usable(now)) {
				best = (best == null || state.speed.decodeMillisPerToken() < best.speed.decodeMillisPerToken()) ? state
						: best;
				usable += state.engine.slots();
				slotsPerToken += state.sustainedSlots() / Math.max(0.001, state.speed.decodeMillisPerToken());
				this.freeSlots += state.freeSlots(now);
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
