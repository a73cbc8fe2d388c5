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
public final class SlidingWindowCap {

	/**
	 * Time in milliseconds that is added to the window: between the grant and the arrival
	 * of a request pass a connection attempt and the way.
	 */
	public static final long ARRIVAL_DELAY_MILLIS = 400;

	/**
	 * Part of what is allowed that is handed out; the rest covers use that is reported
	 * late, uneven use before a takeover, and attempts that run twice.
	 */
	static final double GRANTABLE_SHARE = 0.9;

	/**
	 * Part of the limit that is assumed to have been used before a takeover; the rest is
	 * there at once.
	 */
	static final double ASSUMED_USED_SHARE = 0.95;

	/**
	 * Time in milliseconds for which assumed use stays in the window for longer, since
	 * real use is uneven.
	 */
	static final long UNEVEN_USE_MILLIS = 1000;

	private final SlidingWindowCounter used;

	private final SlidingWindowCounter assumed;

	private double limitUnits;

	/** Part of the limit that this owner hands out, while others may have another. */
	private double ownerShare = 1;

	/** Units that each slice before the takeover was assumed to hold. */
	private double assumedPerSlice;

	private long assumedAt;

	/**
	 * Creates a cap of which nothing was used.
	 * @param allowedUnits most units in a window
	 * @param windowMillis length of the window
	 * @param now time in milliseconds
	 */
	public SlidingWindowCap(double allowedUnits, long windowMillis, long now) {
		allowedUnits(allowedUnits);
		this.used = new SlidingWindowCounter(windowMillis + ARRIVAL_DELAY_MILLIS, now);
		this.assumed = new SlidingWindowCounter(windowMillis + ARRIVAL_DELAY_MILLIS + UNEVEN_USE_MILLIS, now);
	}

	/**
	 * Changes the cap. What was used stays used.
	 * @param allowedUnits most units in a window
	 */
	public void allowedUnits(double allowedUnits) {
		this.limitUnits = allowedUnits * GRANTABLE_SHARE;
	}

	/**
	 * Sets the part of the limit that this owner may hand out, while hosts that it does
	 * not reach may have an owner of their own.
	 * @param ownerShare from 0 to 1
	 */
	public void ownerShare(double ownerShare) {
		this.ownerShare = ownerShare;
	}

	/**
	 * Assumes that most of the limit was used evenly in the last window.
	 * @param now time in milliseconds
	 */
	public void assumeUsed(long now) {
		this.assumedAt = now;
		this.assumedPerSlice = this.limitUnits * ASSUMED_USED_SHARE / this.assumed.sliceCount();
		for (int age = 0; age < this.assumed.sliceCount(); age++) {
			this.assumed.addToSlice(this.assumedPerSlice, age, now);
		}
	}

	/**
	 * Replaces what was assumed of one host by what it tells.
	 * @param unitsNewestFirst use of the host's slices, the newest first
	 * @param coveredMillis time back to which the host knows its use
	 * @param hosts number of hosts that may have used the cap
	 * @param now time in milliseconds
	 */
	public void applyReport(List<Long> unitsNewestFirst, long coveredMillis, int hosts, long now) {
		int slicesSinceTakeover = (int) ((now - this.assumedAt) / SlidingWindowCounter.SLICE_MILLIS);
		int coveredSlices = (int) Math.min(this.assumed.sliceCount(),
				coveredMillis / SlidingWindowCounter.SLICE_MILLIS);
		for (int age = slicesSinceTakeover; age < coveredSlices; age++) {
			this.used.addToSlice((age < unitsNewestFirst.size()) ? unitsNewestFirst.get(age) : 0, age, now);
			double hostPart = Math.min(this.assumed.unitsInSlice(age), this.assumedPerSlice / Math.max(1, hosts));
			this.assumed.addToSlice(-hostPart, age, now);
		}
	}

	/**
	 * Returns whether units would exceed a part of what is allowed in a window.
	 * @param units number of units
	 * @param partUnits units of that part
	 * @param now time in milliseconds
	 * @return 0 if they would not, or the time in milliseconds until they do not
	 */
	public long waitMillisWithin(double units, double partUnits, long now) {
		double missingUnits = this.used.totalUnits(now) + this.assumed.totalUnits(now) + Math.min(units, partUnits)
				- partUnits * this.ownerShare;
		return (missingUnits <= 0) ? 0 : millisUntilFreed(missingUnits, now);
	}

	private double availableUnits(long now) {
		return this.limitUnits * this.ownerShare - this.used.totalUnits(now) - this.assumed.totalUnits(now);
	}

	/**
	 * Takes units. A request that is larger than the limit needs a window without use.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if the units were taken, or the time in milliseconds until they are there
	 */
	public long tryAcquire(double units, long now) {
		double maxUnits = this.limitUnits * this.ownerShare;
		double neededUnits = Math.min(units, maxUnits);
		double available = availableUnits(now);
		if (maxUnits > 0 && available >= neededUnits) {
			this.used.add(units, now);
			return 0;
		}
		return millisUntilFreed(neededUnits - available, now);
	}

	/**
	 * Counts units that have been used already.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if more may be used, or the time in milliseconds until it may
	 */
	public long charge(double units, long now) {
		this.used.add(units, now);
		double available = availableUnits(now);
		return (available >= 0) ? 0 : millisUntilFreed(-available, now);
	}

	/**
	 * Gives units back that were not used.
	 * @param units number of units
	 * @param now time in milliseconds
	 */
	public void refund(double units, long now) {
		this.used.add(-units, now);
	}

	// Time until old slices have left the window that hold at least the missing units.
	private long millisUntilFreed(double missingUnits, long now) {
		double freedUnits = 0;
		int slices = 0;
		while (slices < this.used.sliceCount() - 1 && freedUnits < missingUnits) {
			slices++;
			freedUnits += this.used.unitsInSlice(this.used.sliceCount() - slices)
					+ this.assumed.unitsInSlice(this.assumed.sliceCount() - slices);
		}
		return Math.max(1,
				slices * SlidingWindowCounter.SLICE_MILLIS - Math.floorMod(now, SlidingWindowCounter.SLICE_MILLIS));
	}

}
