package carawayswitch.zone;

/**
 * Rate of events with amounts, as an exponentially decaying sum over the time since the
 * first one. Before a full time constant has passed, the sum is scaled to what it would
 * be. Confined to its owner. Times are milliseconds.
 */
final class DecayingRate {

	private final double timeConstant;

	private final double minObserved;

	private double sum;

	private long firstAt = Long.MIN_VALUE;

	private long decayedAt;

	/**
	 * Creates a rate without events.
	 * @param timeConstant time constant of the decay
	 * @param minObserved shortest time of observation from which a rate is derived
	 */
	DecayingRate(double timeConstant, double minObserved) {
		this.timeConstant = timeConstant;
		this.minObserved = minObserved;
	}

	void add(double amount, long now) {
		if (!known()) {
			this.firstAt = now;
			this.decayedAt = now;
		}
		decay(now);
		this.sum += amount;
	}

	boolean known() {
		return this.firstAt != Long.MIN_VALUE;
	}

	void decay(long now) {
		if (now > this.decayedAt) {
			this.sum *= Math.exp(-(now - this.decayedAt) / this.timeConstant);
			this.decayedAt = now;
		}
	}

	/**
	 * Returns the rate, if there was an event.
	 * @param now time of the latest call of {@link #add} or {@link #decay}
	 * @return amount per millisecond
	 */
	double perMilli(long now) {
		double observed = Math.max(this.minObserved, now - this.firstAt);
		return this.sum / this.timeConstant / (1 - Math.exp(-observed / this.timeConstant));
	}

}
