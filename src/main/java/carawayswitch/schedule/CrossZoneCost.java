package carawayswitch.schedule;

/**
 * Cost of running a place request at an engine outside the availability zone of its host.
 * Called for each candidate of a scheduling decision, so that implementations must be
 * fast. Called on the thread of the scheduler only. Times are milliseconds.
 */
@FunctionalInterface
public interface CrossZoneCost {

	/** The same cost for each engine in another availability zone. */
	CrossZoneCost CONSTANT = (request, candidate, now) -> candidate.zone().equals(request.zone()) ? 0
			: EngineChoice.CROSS_ZONE_COST_MILLIS;

	/**
	 * Returns the cost that is added to the expected time at a candidate.
	 * @param request the place request
	 * @param candidate the engine
	 * @param now time in milliseconds
	 * @return cost in milliseconds, 0 in the zone of the request; negative if the zone of
	 * the request gains by sending the work away; positive infinity if the request is not
	 * dispatched to the candidate now
	 */
	double extraMillis(PoolRequest request, PoolEngine candidate, long now);

}
