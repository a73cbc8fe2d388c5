package carawayswitch.zone;

/**
 * Load, room and share of one zone. Confined to its policy.
 */
final class ZoneState {

	final String name;

	final ZoneLoad load = new ZoneLoad();

	final ShareControl control = new ShareControl();

	/** Share of the offered work for which leaving pays. */
	final ZoneLoad.Mean payingShare = new ZoneLoad.Mean(ZoneLoad.STEADY_WEIGHT);

	double rate;

	double capacity;

	double room;

	double excess;

	double waitMillis;

	double measuredWaitMillis = -1;

	double gainMillis;

	/** Share of the work of others that is sent here. */
	double weight;

	double reportedShare;

	ZoneState(String name) {
		this.name = name;
	}

	void measure(double serviceFactor, long now) {
		this.rate = this.load.imminentRate(now);
		this.capacity = this.load.capacity(serviceFactor, now);
		this.room = Math.max(0, ZoneTrafficPolicy.TARGET_LOAD * this.capacity - this.rate);
		this.excess = Math.max(0, this.rate - ZoneTrafficPolicy.TARGET_LOAD * this.capacity);
		this.waitMillis = (this.measuredWaitMillis >= 0) ? this.measuredWaitMillis
				: this.load.waitMillis(serviceFactor, now);
	}

}
