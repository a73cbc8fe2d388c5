package carawayswitch.zone;

/**
 * Share of one zone's work that may leave. It follows a target with hysteresis and a
 * bounded change per second, so that it does not oscillate with the noise of the load.
 * Confined to its policy.
 */
final class ShareControl {

	/** Load from which a zone begins to send work away. */
	static final double BEGIN_LOAD = 0.9;

	/** Load below which a zone stops. */
	static final double STOP_LOAD = 0.75;

	/**
	 * Largest change of the share per second. Bursts last 3 to 6 s, and an overload is
	 * hardly ever more than half of the work.
	 */
	static final double MAX_CHANGE_PER_SECOND = 0.5;

	/** Load from which a zone begins again soon after it has stopped. */
	static final double CLEAR_LOAD = 1.1;

	/**
	 * Time in milliseconds for which a zone goes on to send work away, and for which it
	 * does not begin again unless its load is clearly too high; the length of a short
	 * burst.
	 */
	static final long MIN_PERIOD_MILLIS = 3000;

	/** Time constant in milliseconds by which the noise of the target is smoothed. */
	static final double TARGET_MILLIS = 1500;

	/**
	 * Distance between share and target from which the share reverses its direction. The
	 * target has a noise of about a twentieth.
	 */
	static final double REVERSAL_BAND = 0.08;

	private static final double SECOND_MILLIS = 1000;

	private double share;

	/** Smoothed target. */
	private double wanted;

	private boolean sending;

	private long periodMillis = MIN_PERIOD_MILLIS;

	private boolean rising = true;

	/**
	 * Moves the share towards its target.
	 * @param load load of the zone's own endpoints; infinite if there are none
	 * @param pays true if leaving pays for some of the zone's work
	 * @param target share of the work that the zone's endpoints cannot take
	 * @param elapsedMillis time since the last call in milliseconds
	 */
	void update(double load, boolean pays, double target, long elapsedMillis) {
		if (Double.isInfinite(load)) {
			// Nothing can run in the zone, so that there is nothing to approach slowly.
			this.sending = target > 0;
			this.share = target;
			this.wanted = target;
			this.periodMillis = 0;
			this.rising = false;
			return;
		}
		this.periodMillis += elapsedMillis;
		if (this.sending != mustSend(load, pays)) {
			this.sending = !this.sending;
			this.periodMillis = 0;
		}
		double smoothing = 1 - Math.exp(-elapsedMillis / TARGET_MILLIS);
		this.wanted = this.sending ? this.wanted + smoothing * (target - this.wanted) : 0;
		boolean up = this.wanted > this.share;
		boolean reversed = up != this.rising && this.share > 0;
		if (reversed && this.wanted > 0 && Math.abs(this.wanted - this.share) < REVERSAL_BAND) {
			return;
		}
		double maxChange = MAX_CHANGE_PER_SECOND * elapsedMillis / SECOND_MILLIS;
		double change = Math.max(-maxChange, Math.min(maxChange, this.wanted - this.share));
		if (change != 0) {
			this.rising = up;
			this.share += change;
		}
	}

	private boolean mustSend(double load, boolean pays) {
		boolean recent = this.periodMillis < MIN_PERIOD_MILLIS;
		if (this.sending) {
			return pays && (recent || load >= STOP_LOAD);
		}
		return pays && load >= (recent ? CLEAR_LOAD : BEGIN_LOAD);
	}

	double share() {
		return this.share;
	}

	boolean sending() {
		return this.sending;
	}

}
