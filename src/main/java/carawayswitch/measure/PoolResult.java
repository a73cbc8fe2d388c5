package carawayswitch.measure;

import java.util.Locale;

/**
 * What became of the requests of one kind. Not safe for use by several threads.
 */
final class PoolResult {

	private final PoolLoad.Kind kind;

	private int asked;

	private int onTime;

	private int late;

	private int refusedTwice;

	private double owedWorth;

	private double earnedWorth;

	private double heldMillis;

	PoolResult(PoolLoad.Kind kind) {
		this.kind = kind;
	}

	void asked(double size) {
		this.asked++;
		this.owedWorth += size * this.kind.worth();
	}

	void served(double size, boolean inTime) {
		this.onTime += inTime ? 1 : 0;
		this.late += inTime ? 0 : 1;
		this.earnedWorth += size * (inTime ? this.kind.worth() : this.kind.lateWorth());
	}

	void refused(boolean again, double millis) {
		this.refusedTwice += again ? 1 : 0;
		this.heldMillis += millis;
	}

	int askedCount() {
		return this.asked;
	}

	double servedShare() {
		return (double) (this.onTime + this.late) / Math.max(1, this.asked);
	}

	double onTimeShare() {
		return (double) this.onTime / Math.max(1, this.asked);
	}

	double worthShare() {
		return this.earnedWorth / Math.max(1e-9, this.owedWorth);
	}

	double owedWorth() {
		return this.owedWorth;
	}

	double earnedWorth() {
		return this.earnedWorth;
	}

	/**
	 * Returns the mean time for which refused requests were held.
	 * @return time in milliseconds per asked request
	 */
	double heldMillis() {
		return this.heldMillis / Math.max(1, this.asked);
	}

	double refusedTwiceShare() {
		return (double) this.refusedTwice / Math.max(1, this.asked);
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "%-8s asked %4d on time %.3f served %.3f worth %.3f twice %.3f held %4.0f",
				this.kind.name(), this.asked, onTimeShare(), servedShare(), worthShare(), refusedTwiceShare(),
				heldMillis());
	}

}
