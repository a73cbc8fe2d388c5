package carawayswitch.schedule;

/**
 * Cap on the use of one organisation: a bucket that fills at a rate. Times are
 * milliseconds. Not safe for use by several threads.
 */
public final class TokenCap {

	private static final double SECOND_MILLIS = 1000;

	private double perSecond;

	private double burst;

	private double available;

	private long filledAt;

	/**
	 * Creates a bucket.
	 * @param perSecond units per second
	 * @param burst units that the bucket holds
	 * @param initial units that it holds at first; less than a full bucket where an
	 * earlier owner of the cap may have emptied its own just now
	 * @param now time in milliseconds
	 */
	public TokenCap(double perSecond, double burst, double initial, long now) {
		this.perSecond = perSecond;
		this.burst = burst;
		this.available = Math.min(burst, initial);
		this.filledAt = now;
	}

	/**
	 * Changes the cap. What was used stays used.
	 * @param newPerSecond units per second
	 * @param newBurst units that the bucket holds
	 * @param now time in milliseconds
	 */
	public void change(double newPerSecond, double newBurst, long now) {
		fill(now);
		this.perSecond = newPerSecond;
		this.available = Math.min(newBurst, this.available + Math.max(0, newBurst - this.burst));
		this.burst = newBurst;
	}

	private void fill(long now) {
		double earned = this.perSecond * Math.max(0, now - this.filledAt) / SECOND_MILLIS;
		this.available = Math.min(this.burst, this.available + earned);
		this.filledAt = Math.max(now, this.filledAt);
	}

	/**
	 * Takes units. A request that is larger than the bucket needs a full bucket.
	 * @param units number of units
	 * @param now time in milliseconds
	 * @return 0 if the units were taken, or the time in milliseconds until they are there
	 */
	public long take(double units, long now) {
		fill(now);
		double needed = Math.min(units, this.burst);
		if (this.available >= needed) {
			this.available -= units;
			return 0;
		}
		double rate = Math.max(1, this.perSecond);
		return 1 + (long) ((needed - this.available) / rate * SECOND_MILLIS);
	}

	/**
	 * Gives units back that were not used.
	 * @param units number of units
	 */
	public void giveBack(double units) {
		this.available = Math.min(this.burst, this.available + units);
	}

}
