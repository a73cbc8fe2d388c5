package carawayswitch.schedule;

import java.util.List;

/**
 * Cap on what one organisation uses in any window of a given length, as the owner of the
 * cap counts it. An owner that has just taken over does not know what was used before: it
 * assumes that the cap was used evenly, until each host has told its part. Invariant:
 * what is handed out, known and assumed of a window is at most the part of the allowed
 * units that this owner hands out. Times are milliseconds. Not safe for use by several
 * threads.
 *
 * <pre>
 * long wait = cap.take(2400, now);
 * </pre>
 */
public final class SlidingCap {

	/**
	 * Time in milliseconds that is added to the window: between the grant and the arrival
	 * of a request pass a connection attempt and the way.
	 */
	public static final long ARRIVAL_MILLIS = 400;

	/**
	 * Part of what is allowed that is handed out; the rest covers use that is reported
	 * late, uneven use before a takeover, and attempts that run twice.
	 */
	static final double HANDED_OUT_SHARE = 0.9;

	/**
	 * Part of the limit that is assumed to have been used before a takeover; the rest is
	 * there at once.
	 */
	static final double ASSUMED_SHARE = 0.95;

	/**
	 * Time in milliseconds for which assumed use stays in the window for longer, since
	 * real use is uneven.
	 */
	static final long UNEVEN_MILLIS = 1000;

	private final UseHistory used;

	private final UseHistory assumed;

	private double limit;

	/** Part of the limit that this owner hands out, while others may have another. */
	private double share = 1;

	/** Units that each slice before the takeover was assumed to hold. */
	private double assumedInSlice;

	private long assumedAt;

	/**
	 * Creates a cap of which nothing was used.
	 * @param allowed most units in a window
	 * @param windowMillis length of the window
	 * @param now time in milliseconds
	 */
	public SlidingCap(double allowed, long windowMillis, long now) {
		allowed(allowed);
		this.used = new UseHistory(windowMillis + ARRIVAL_MILLIS, now);
		this.assumed = new UseHistory(windowMillis + ARRIVAL_MILLIS + UNEVEN_MILLIS, now);
	}

	/**
	 * Changes the cap. What was used stays used.
	 * @param allowed most units in a window
	 */
	public void allowed(double allowed) {
		this.limit = allowed * HANDED_OUT_SHARE;
	}

	/**
	 * Sets the part of the limit that this owner may hand out, while hosts that it does
	 * not reach may have an owner of their own.
	 * @param newShare from 0 to 1
	 */
	public void share(double newShare) {
		this.share = newShare;
	}

	/**
	 * Assumes that most of the limit was used evenly in the last window.
	 * @param now time in milliseconds
	 */
	public void assumeUsed(long now) {
		this.assumedAt = now;
		this.assumedInSlice = this.limit * ASSUMED_SHARE / this.assumed.length();
		for (int back = 0; back < this.assumed.length(); back++) {
			this.assumed.addBack(this.assumedInSlice, back, now);
		}
	}

	/**
	 * Replaces what was assumed of one host by what it tells.
	 * @param units use of the host's slices, the newest first
	 * @param coveredMillis time back to which the host knows its use
	 * @param hosts number of hosts that may have used the cap
	 * @param now time in milliseconds
	 */
	public void told(List<Long> units, long coveredMillis, int hosts, long now) {
		int sinceTakeover = (int) ((now - this.assumedAt) / UseHistory.SLICE_MILLIS);
		int covered = (int) Math.min(this.assumed.length(), coveredMillis / UseHistory.SLICE_MILLIS);
		for (int back = sinceTakeover; back < covered; back++) {
			this.used.addBack((back < units.size()) ? units.get(back) : 0, back, now);
			double part = Math.min(this.assumed.slice(back), this.assumedInSlice / Math.max(1, hosts));
			this.assumed.addBack(-part, back, now);
		}
	}

	/**
	 * Returns whether units would exceed a part of what is allowed in a window.
	 * @param units number of units
	 * @param most units of that part
	 * @param now time in milliseconds
	 * @return 0 if they would not, or the time in milliseconds until they do not
	 */
	public long beyond(double units, double most, long now) {
		double missing = this.used.sum(now) + this.assumed.sum(now) + Math.min(units, most) - most * this.share;
		return (missing <= 0) ? 0 : waitFor(missing, now);
	}

	private double available(long now) {
		return this.limit * this.share - this.used.sum(now) - this.assumed.sum(now);
	}

	/**
	 * Takes units. A request that is larger than the limit needs a window without use.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if the units were taken, or the time in milliseconds until they are there
	 */
	public long take(double units, long now) {
		double most = this.limit * this.share;
		double needed = Math.min(units, most);
		double available = available(now);
		if (most > 0 && available >= needed) {
			this.used.add(units, now);
			return 0;
		}
		return waitFor(needed - available, now);
	}

	/**
	 * Counts units that have been used already.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if more may be used, or the time in milliseconds until it may
	 */
	public long charge(double units, long now) {
		this.used.add(units, now);
		double available = available(now);
		return (available >= 0) ? 0 : waitFor(-available, now);
	}

	/**
	 * Gives units back that were not used.
	 * @param units number of units
	 * @param now time in milliseconds
	 */
	public void giveBack(double units, long now) {
		this.used.add(-units, now);
	}

	// Time until old slices have left the window that hold at least the missing units.
	private long waitFor(double missing, long now) {
		double freed = 0;
		int slices = 0;
		while (slices < this.used.length() - 1 && freed < missing) {
			slices++;
			freed += this.used.slice(this.used.length() - slices) + this.assumed.slice(this.assumed.length() - slices);
		}
		return Math.max(1, slices * UseHistory.SLICE_MILLIS - Math.floorMod(now, UseHistory.SLICE_MILLIS));
	}

}
