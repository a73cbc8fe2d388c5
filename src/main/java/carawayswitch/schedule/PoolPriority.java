package carawayswitch.schedule;

import carawayswitch.config.Tier;

/**
 * Priority of a request in the pool of one service. The urgency, which an organisation
 * may set for all of its requests, goes first; requests of equal urgency are ordered by
 * the urgency of their routes. Without the second part, all kinds of work of
 * organisations with the same priority would compete as equals, and long urgent work,
 * which needs most of the engines, would be rejected most. Immutable.
 *
 * @param urgency urgency of the request, from 0 to {@link Tier#HIGHEST_URGENCY}
 * @param routeUrgency urgency of its route, on the same scale
 */
public record PoolPriority(int urgency, int routeUrgency) {

	/** Number of levels. */
	public static final int LEVEL_COUNT = Tier.URGENCY_COUNT * Tier.URGENCY_COUNT;

	/** The highest level. */
	static final int HIGHEST_LEVEL = LEVEL_COUNT - 1;

	/**
	 * Returns the level on the scale by which a {@link PoolScheduler} orders work.
	 * @return from 0 (least urgent) to {@link #LEVEL_COUNT} - 1
	 */
	public int level() {
		return bounded(this.urgency) * Tier.URGENCY_COUNT + bounded(this.routeUrgency);
	}

	/**
	 * Returns the urgency of a level.
	 * @param level the level
	 * @return from 0 to {@link Tier#HIGHEST_URGENCY}
	 */
	static int urgencyOf(int level) {
		return level / Tier.URGENCY_COUNT;
	}

	private static int bounded(int urgency) {
		return Math.max(0, Math.min(Tier.HIGHEST_URGENCY, urgency));
	}

}
