package carawayswitch.schedule;

import java.util.Arrays;

/**
 * Share of the recent requests of each level that were dispatched. A less urgent level
 * may use the engine time that is guaranteed to it only while it is served no more often
 * than each more urgent one: its requests may be so short that the guarantee serves all
 * of them while more urgent ones are rejected. Times are milliseconds. Confined to its
 * scheduler.
 */
final class ServedShares {

	/**
	 * Time constant in milliseconds of the exponentially decaying counts. Bursts last
	 * seconds, and the counts must outlast one.
	 */
	static final double AVERAGING_MILLIS = 10_000;

	/** Fewest offered requests, decayed, from which the share of a level is compared. */
	private static final double MIN_OFFERED = 5;

	/**
	 * Difference of shares up to which a less urgent level counts as served no more
	 * often. Users accept 0.05 over a day.
	 */
	private static final double TOLERANCE = 0.03;

	private final double[] offered = new double[PoolPriority.LEVEL_COUNT];

	private final double[] dispatched = new double[PoolPriority.LEVEL_COUNT];

	private long updatedAt;

	void onOffered(int level, long now) {
		decay(now);
		this.offered[level]++;
	}

	void onDispatched(int level, long now) {
		decay(now);
		this.dispatched[level]++;
	}

	// Undoes a recent call of onDispatched.
	void onTakenBack(int level, long now) {
		decay(now);
		this.dispatched[level] = Math.max(0, this.dispatched[level] - 1);
	}

	// Whether a level was served no more often than each more urgent one, within the
	// tolerance.
	boolean behindMoreUrgent(int level, long now) {
		decay(now);
		double ownShare = share(level);
		for (int higher = level + 1; higher < this.offered.length; higher++) {
			if (this.offered[higher] >= MIN_OFFERED && share(higher) < ownShare - TOLERANCE) {
				return false;
			}
		}
		return true;
	}

	private double share(int level) {
		return this.dispatched[level] / Math.max(1, this.offered[level]);
	}

	private void decay(long now) {
		double factor = Math.exp(-Math.max(0, now - this.updatedAt) / AVERAGING_MILLIS);
		Arrays.setAll(this.offered, (level) -> this.offered[level] * factor);
		Arrays.setAll(this.dispatched, (level) -> this.dispatched[level] * factor);
		this.updatedAt = now;
	}

}
