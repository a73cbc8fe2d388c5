package carawayswitch.zone;

/**
 * Work that the hosts of one zone offer, and the capacity of the zone's own endpoints.
 * Work is measured in units, the milliseconds for which it is assumed to occupy a slot;
 * the ratio of measured to assumed time corrects the capacity. Confined to its policy.
 * Times are milliseconds.
 */
final class ZoneLoad {

	/** Time constant of the present rate; bursts last 3 to 6 s. */
	static final double FAST_MILLIS = 1500;

	/** Time constant of the earlier rate, from which the trend is derived. */
	static final double SLOW_MILLIS = 6000;

	/** Time ahead for which the load is extrapolated. */
	static final double HORIZON_MILLIS = 1000;

	/**
	 * Largest ratio of the extrapolated to the present rate. The start of a burst would
	 * otherwise be extrapolated to several times its height.
	 */
	static final double MAX_GROWTH = 1.3;

	/**
	 * Share of the present rate below which a growth counts as noise and is not
	 * extrapolated.
	 */
	static final double MIN_GROWTH = 0.1;

	/** Shortest time of observation from which a rate is derived. */
	private static final double MIN_OBSERVED_MILLIS = 1000;

	/** Weight of the newest sample in a mean that must be steady. */
	static final double STEADY_WEIGHT = 0.05;

	/** Weight of the newest sample in a mean that must be recent. */
	private static final double RECENT_WEIGHT = 0.25;

	/** Largest load at which the formula of the wait is used; it diverges at 1. */
	private static final double MAX_FORMULA_LOAD = 0.98;

	/** Smallest ratio of measured to assumed time. */
	private static final double MIN_FACTOR = 0.01;

	/** Time for which a measured duration counts as recent. */
	private static final long MEASURED_MILLIS = 3000;

	private int slots;

	private final DecayingRate fastRate = new DecayingRate(FAST_MILLIS, MIN_OBSERVED_MILLIS);

	private final DecayingRate slowRate = new DecayingRate(SLOW_MILLIS, MIN_OBSERVED_MILLIS);

	private double assumedRate;

	private double waitingUnits;

	private final Mean units = new Mean(STEADY_WEIGHT);

	private final Mean bytes = new Mean(STEADY_WEIGHT);

	/** Ratio of the measured to the assumed slot time of the zone's endpoints. */
	private final Mean factor = new Mean(STEADY_WEIGHT);

	private final Mean recentFactor = new Mean(RECENT_WEIGHT);

	/** Ratio that is assumed while none was measured recently, or 0. */
	private double assumedFactor;

	private long measuredAt = Long.MIN_VALUE / 2;

	void slots(int newSlots) {
		this.slots = newSlots;
	}

	int slots() {
		return this.slots;
	}

	/**
	 * Sets the rate of a zone whose requests this host does not see.
	 * @param unitsPerMilli units per millisecond
	 */
	void assume(double unitsPerMilli) {
		this.assumedRate = unitsPerMilli;
	}

	/**
	 * Sets the ratio of measured to assumed time that is assumed while none was measured
	 * recently.
	 * @param ratio the ratio
	 */
	void assumeFactor(double ratio) {
		this.assumedFactor = ratio;
	}

	void onOffered(double newUnits, double weight, double newBytes, long now) {
		this.fastRate.add(newUnits * weight, now);
		this.slowRate.add(newUnits * weight, now);
		this.waitingUnits += newUnits;
		this.units.add(newUnits);
		this.bytes.add(newBytes);
	}

	void onNoLongerWaiting(double endedUnits) {
		this.waitingUnits = Math.max(0, this.waitingUnits - endedUnits);
	}

	void onMeasured(double ratio, long now) {
		this.factor.add(ratio);
		this.recentFactor.add(ratio);
		this.measuredAt = now;
	}

	/**
	 * Returns the rate at which work is offered now.
	 * @param now time in milliseconds
	 * @return units per millisecond
	 */
	double presentRate(long now) {
		if (!this.fastRate.known()) {
			return this.assumedRate;
		}
		this.fastRate.decay(now);
		this.slowRate.decay(now);
		return this.fastRate.perMilli(now);
	}

	/**
	 * Returns the rate that is expected at the horizon: the present one, extrapolated by
	 * its trend, and the waiting work, which is to be served as well. A falling trend is
	 * not extrapolated, since a shortage that ends early costs more than one that ends
	 * late.
	 * @param now time in milliseconds
	 * @return units per millisecond
	 */
	double imminentRate(long now) {
		double present = presentRate(now);
		if (!this.slowRate.known()) {
			return present;
		}
		double slow = this.slowRate.perMilli(now);
		double growth = (present - slow) * (FAST_MILLIS + HORIZON_MILLIS) / (SLOW_MILLIS - FAST_MILLIS);
		double extrapolated = Math.min(present * MAX_GROWTH,
				(growth > present * MIN_GROWTH) ? present + growth : present);
		return extrapolated + this.waitingUnits / (HORIZON_MILLIS + FAST_MILLIS);
	}

	/**
	 * Returns the capacity of the zone's endpoints.
	 * @param serviceFactor ratio of measured to assumed time over all zones, used until
	 * this zone has samples
	 * @param now time in milliseconds
	 * @return units per millisecond
	 */
	double capacity(double serviceFactor, long now) {
		return this.slots / Math.max(MIN_FACTOR, factor(serviceFactor, now));
	}

	private double factor(double serviceFactor, long now) {
		if (this.assumedFactor > 0 && recentFactor(now) < 0) {
			return this.assumedFactor;
		}
		return this.factor.known() ? this.factor.value() : serviceFactor;
	}

	/**
	 * Returns the wait that the zone's work is expected to have at the zone's endpoints.
	 * Below full load it is Sakasegawa's approximation of the mean wait for one of many
	 * servers; above it, the wait that builds up until the horizon is added.
	 * @param serviceFactor ratio of measured to assumed time over all zones
	 * @param now time in milliseconds
	 * @return time in milliseconds
	 */
	double waitMillis(double serviceFactor, long now) {
		double capacity = capacity(serviceFactor, now);
		if (capacity <= 0) {
			return Double.POSITIVE_INFINITY;
		}
		double load = imminentRate(now) / capacity;
		double formulaLoad = Math.min(MAX_FORMULA_LOAD, load);
		double slotMillis = meanUnits() * factor(serviceFactor, now);
		double queueing = slotMillis * Math.pow(formulaLoad, Math.sqrt(2.0 * (this.slots + 1)) - 1)
				/ (this.slots * (1 - formulaLoad));
		return queueing + Math.max(0, load - MAX_FORMULA_LOAD) * HORIZON_MILLIS;
	}

	/**
	 * Returns the ratio of measured to assumed time if it was measured recently.
	 * @param now time in milliseconds
	 * @return the ratio, or a negative number
	 */
	double recentFactor(long now) {
		boolean recent = now - this.measuredAt <= MEASURED_MILLIS && this.recentFactor.known();
		return recent ? this.recentFactor.value() : -1;
	}

	double meanUnits() {
		return Math.max(1, this.units.value());
	}

	double meanBytes() {
		return this.bytes.value();
	}

	/**
	 * Moving mean whose first samples count alike. Confined to its owner.
	 */
	static final class Mean {

		/** Number of samples from which the mean is used. */
		private static final int MIN_SAMPLES = 3;

		private final double weight;

		private double value;

		private int samples;

		Mean(double weight) {
			this.weight = weight;
		}

		void add(double sample) {
			this.samples++;
			this.value += Math.max(this.weight, 1.0 / this.samples) * (sample - this.value);
		}

		boolean known() {
			return this.samples >= MIN_SAMPLES;
		}

		double value() {
			return this.value;
		}

	}

}
