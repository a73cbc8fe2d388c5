package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Sliding-window rate limiter for the cap of one organisation, kept by the owner of the
 * cap. An owner that has just taken over does not know the earlier use: it assumes that
 * the cap was used evenly until each host has reported its part. Unreachable hosts may
 * have an owner that grants them their part of the cap and counts their earlier use in
 * it, so that the larger of their part and their assumed use is set aside, not the sum.
 * Invariant: an acquisition succeeds only if the acquired, reported and assumed units of
 * the window and the units set aside are then at most the allowed units; only a request
 * larger than this owner's part exceeds it, in an unused window. Times are milliseconds.
 * Not safe for use by several threads.
 *
 * <pre>
 * long waitMillis = cap.tryAcquire(2400, now);
 * </pre>
 */
public final class SlidingWindowCap {

	/**
	 * Time in milliseconds that is added to the window. It covers the delay between the
	 * grant and the arrival of a request at the endpoint: a connection attempt and the
	 * network latency.
	 */
	public static final long ARRIVAL_DELAY_MILLIS = 400;

	/**
	 * Share of the allowed units that can be granted. The rest covers use that is
	 * reported late, uneven use before a takeover, and attempts that run twice.
	 */
	static final double GRANTABLE_SHARE = 0.9;

	/**
	 * Share of the limit that is assumed to have been used before a takeover; the rest is
	 * available immediately.
	 */
	static final double ASSUMED_USED_SHARE = 0.95;

	/**
	 * Time in milliseconds for which assumed use stays in the window longer than recorded
	 * use, since the real use before the takeover was uneven.
	 */
	static final long UNEVEN_USE_MILLIS = 1000;

	/** Number of slices that a record of the use adds up, so that it stays short. */
	static final int RECORD_SLICES = 5;

	private final SlidingWindowCounter used;

	private final SlidingWindowCounter assumed;

	/** Use that was assumed at the takeover, before any host has reported. */
	private final SlidingWindowCounter assumedAtFirst;

	private double limitUnits;

	/**
	 * Share of the limit that this owner grants; below 1 if unreachable hosts may have
	 * another owner.
	 */
	private double ownerShare = 1;

	/** Units that are assumed to have been used in each slice before the takeover. */
	private double assumedPerSlice;

	private long assumedAt;

	/**
	 * Creates a cap without recorded use.
	 * @param allowedUnits most units in a window
	 * @param windowMillis length of the window in milliseconds
	 * @param now time in milliseconds
	 */
	public SlidingWindowCap(double allowedUnits, long windowMillis, long now) {
		allowedUnits(allowedUnits);
		this.used = new SlidingWindowCounter(windowMillis + ARRIVAL_DELAY_MILLIS, now);
		long assumedMillis = windowMillis + ARRIVAL_DELAY_MILLIS + UNEVEN_USE_MILLIS;
		this.assumed = new SlidingWindowCounter(assumedMillis, now);
		this.assumedAtFirst = new SlidingWindowCounter(assumedMillis, now);
	}

	/**
	 * Changes the cap. Earlier use still counts.
	 * @param allowedUnits most units in a window
	 */
	public void allowedUnits(double allowedUnits) {
		this.limitUnits = allowedUnits * GRANTABLE_SHARE;
	}

	/**
	 * Sets the share of the limit that this owner may grant while unreachable hosts may
	 * have an owner of their own, as in a network partition.
	 * @param ownerShare share from 0 to 1
	 */
	public void ownerShare(double ownerShare) {
		this.ownerShare = ownerShare;
	}

	/**
	 * Assumes that most of the limit was used evenly in the last window, as a new owner
	 * must until the hosts report their use.
	 * @param unusedBefore time in milliseconds before which there was certainly no use
	 * @param now time in milliseconds
	 */
	public void assumeUsed(long unusedBefore, long now) {
		this.assumedAt = now;
		this.assumedPerSlice = this.limitUnits * ASSUMED_USED_SHARE / this.assumed.sliceCount();
		long oldestSlice = Math.floorDiv(unusedBefore, SlidingWindowCounter.SLICE_MILLIS);
		long slices = Math.floorDiv(now, SlidingWindowCounter.SLICE_MILLIS) - oldestSlice + 1;
		for (int age = 0; age < Math.min(slices, this.assumed.sliceCount()); age++) {
			this.assumed.addToSlice(this.assumedPerSlice, age, now);
			this.assumedAtFirst.addToSlice(this.assumedPerSlice, age, now);
		}
	}

	/**
	 * Replaces the assumed use of one host by the use that it reports. Slices that the
	 * report does not cover stay assumed.
	 * @param unitsNewestFirst units used in the host's slices, the newest first; missing
	 * slices count as unused
	 * @param coveredMillis length of the time up to now that the report covers, in
	 * milliseconds
	 * @param hosts number of hosts that may have used the cap
	 * @param now time in milliseconds
	 */
	public void applyReport(List<Long> unitsNewestFirst, long coveredMillis, int hosts, long now) {
		int slicesSinceTakeover = (int) ((now - this.assumedAt) / SlidingWindowCounter.SLICE_MILLIS);
		int coveredSlices = (int) Math.min(this.assumed.sliceCount(),
				coveredMillis / SlidingWindowCounter.SLICE_MILLIS);
		this.assumed.totalUnits(now);
		for (int age = slicesSinceTakeover; age < coveredSlices; age++) {
			this.used.addToSlice((age < unitsNewestFirst.size()) ? unitsNewestFirst.get(age) : 0, age, now);
			double hostPart = Math.min(this.assumed.unitsInSlice(age), this.assumedPerSlice / Math.max(1, hosts));
			this.assumed.addToSlice(-hostPart, age, now);
		}
	}

	/**
	 * Replaces the use that was assumed at the takeover by the use that an earlier owner
	 * has recorded. Use after the record stays assumed, at the highest recorded rate if
	 * that is more: an organisation beyond its cap uses it in bursts.
	 * @param unitsNewestFirst units used in each {@link #RECORD_SLICES} slices before the
	 * record, the newest first
	 * @param recordedMillisAgo age of the record in milliseconds
	 * @param now time in milliseconds
	 */
	public void applyRecord(List<Long> unitsNewestFirst, long recordedMillisAgo, long now) {
		int takeoverAge = (int) ((now - this.assumedAt) / SlidingWindowCounter.SLICE_MILLIS);
		int recordAge = (int) Math.min(this.assumed.sliceCount(),
				recordedMillisAgo / SlidingWindowCounter.SLICE_MILLIS);
		long highest = unitsNewestFirst.stream().mapToLong(Long::longValue).max().orElse(0);
		double unrecorded = Math.max(this.assumedPerSlice, (double) highest / RECORD_SLICES);
		this.assumed.totalUnits(now);
		this.assumedAtFirst.totalUnits(now);
		for (int age = takeoverAge; age < this.assumed.sliceCount(); age++) {
			int group = (age - recordAge) / RECORD_SLICES;
			// The newest slice of a group stands for all of it, since it counts longest.
			boolean newestOfGroup = age >= recordAge && (age - recordAge) % RECORD_SLICES == 0;
			double recorded = (newestOfGroup && group < unitsNewestFirst.size()) ? unitsNewestFirst.get(group) : 0;
			double units = ((age <= recordAge) ? unrecorded : 0) + recorded;
			this.assumed.addToSlice(units - this.assumed.unitsInSlice(age), age, now);
			this.assumedAtFirst.addToSlice(units - this.assumedAtFirst.unitsInSlice(age), age, now);
		}
	}

	/**
	 * Returns the use in the window that is known or assumed, for a record of it.
	 * @param now time in milliseconds
	 * @return units used in each {@link #RECORD_SLICES} slices, the newest first
	 */
	public List<Long> unitsToRecord(long now) {
		this.used.totalUnits(now);
		this.assumed.totalUnits(now);
		List<Long> units = new ArrayList<>();
		for (int first = 0; first < this.used.sliceCount(); first += RECORD_SLICES) {
			double sum = 0;
			for (int age = first; age < Math.min(first + RECORD_SLICES, this.used.sliceCount()); age++) {
				sum += this.used.unitsInSlice(age) + this.assumed.unitsInSlice(age);
			}
			units.add((long) Math.ceil(Math.max(0, sum)));
		}
		return units;
	}

	/**
	 * Adds the use of a host that this owner has not granted, as another owner may have
	 * while this one did not reach the host or was paused. Use before the takeover is
	 * left to {@link #applyReport}.
	 * @param usedNewestFirst units used in the host's slices, the newest first
	 * @param granted units that this owner has granted to the host; the added use is
	 * recorded there, so that a repeated report adds nothing
	 * @param coveredMillis length of the time up to now that the report covers, in
	 * milliseconds
	 * @param now time in milliseconds
	 */
	public void addUseElsewhere(List<Long> usedNewestFirst, SlidingWindowCounter granted, long coveredMillis,
			long now) {
		List<Long> grantedNewestFirst = granted.unitsNewestFirst(now);
		long slices = Math.min(Math.min(usedNewestFirst.size(), grantedNewestFirst.size()),
				coveredMillis / SlidingWindowCounter.SLICE_MILLIS + 1);
		slices = Math.min(slices, (now - this.assumedAt) / SlidingWindowCounter.SLICE_MILLIS);
		// Units may be used some slices after they were granted.
		long unusedGrants = 0;
		for (int age = (int) slices - 1; age >= 0; age--) {
			unusedGrants += grantedNewestFirst.get(age);
			long usedHere = Math.min(unusedGrants, usedNewestFirst.get(age));
			unusedGrants -= usedHere;
			long usedElsewhere = usedNewestFirst.get(age) - usedHere;
			this.used.addToSlice(usedElsewhere, age, now);
			granted.addToSlice(usedElsewhere, age, now);
		}
	}

	/**
	 * Returns the time until units could be used without exceeding a lower limit than the
	 * cap itself, such as the rate and burst without tolerance. Takes no units.
	 * @param units number of units
	 * @param lowerLimitUnits most units in a window under the lower limit
	 * @param now time in milliseconds
	 * @return 0 if the units fit now, or the time in milliseconds until they do
	 */
	public long waitMillisWithin(double units, double lowerLimitUnits, long now) {
		return waitMillis(Math.min(units, lowerLimitUnits), lowerLimitUnits, now);
	}

	/**
	 * Takes units if they are available. A request that is larger than the limit is
	 * granted only in a window without use.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if the units were taken, or the time in milliseconds until they are
	 * available
	 */
	public long tryAcquire(double units, long now) {
		double maxUnits = this.limitUnits * this.ownerShare;
		long wait = waitMillis(Math.min(units, maxUnits), this.limitUnits, now);
		if (wait == 0 && maxUnits > 0) {
			this.used.add(units, now);
			return 0;
		}
		return Math.max(1, wait);
	}

	/**
	 * Records units that a host has used without asking, even if they exceed the cap.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if the cap is not exceeded, or the time in milliseconds until it no
	 * longer is
	 */
	public long charge(double units, long now) {
		this.used.add(units, now);
		return waitMillis(0, this.limitUnits, now);
	}

	/**
	 * Returns units to the cap that were acquired but not used. They leave the window
	 * with the slice in which they were acquired; a refund that outlasted that slice
	 * would raise the cap of later windows.
	 * @param units number of units
	 * @param acquiredAt time in milliseconds at which they were acquired
	 * @param now time in milliseconds
	 */
	public void refund(double units, long acquiredAt, long now) {
		this.used.addAt(-units, acquiredAt, now);
	}

	// Time until enough old slices have left the window for the units to fit.
	private long waitMillis(double units, double limit, long now) {
		double usedUnits = this.used.totalUnits(now);
		double assumedUnits = this.assumed.totalUnits(now);
		double firstUnits = this.assumedAtFirst.totalUnits(now);
		int expiredSlices = 0;
		while (expiredSlices < this.used.sliceCount() - 1
				&& usedUnits + unitsElsewhere(assumedUnits, firstUnits, limit) + units > limit) {
			expiredSlices++;
			usedUnits -= this.used.unitsInSlice(this.used.sliceCount() - expiredSlices);
			assumedUnits -= this.assumed.unitsInSlice(this.assumed.sliceCount() - expiredSlices);
			firstUnits -= this.assumedAtFirst.unitsInSlice(this.assumedAtFirst.sliceCount() - expiredSlices);
		}
		return (expiredSlices == 0) ? 0 : Math.max(1, expiredSlices * SlidingWindowCounter.SLICE_MILLIS
				- Math.floorMod(now, SlidingWindowCounter.SLICE_MILLIS));
	}

	// Assumed use, and the part of the limit that unreachable hosts may use beyond
	// theirs.
	private double unitsElsewhere(double assumedUnits, double firstUnits, double limit) {
		double unreachableShare = 1 - this.ownerShare;
		double assumedOfUnreachable = Math.min(assumedUnits, firstUnits * unreachableShare);
		return assumedUnits + Math.max(0, limit * unreachableShare - assumedOfUnreachable);
	}

}
