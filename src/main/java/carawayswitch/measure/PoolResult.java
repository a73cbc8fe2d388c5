package carawayswitch.measure;

import java.util.Locale;

/**
 * What became of the requests of one kind. Not safe for use by several threads.
 */
final class PoolResult {

	private final PoolLoad.Kind kind;

	private int offered;

	private int onTime;

	private int late;

	private int rejectedTwice;

	private double offeredValue;

	private double servedValue;

	private double rejectedWaitMillis;

	PoolResult(PoolLoad.Kind kind) {
		this.kind = kind;
	}

	void offered(double size) {
		this.offered++;
		this.offeredValue += size * this.kind.onTimeValue();
	}

	void served(double size, boolean isOnTime) {
		this.onTime += isOnTime ? 1 : 0;
		this.late += isOnTime ? 0 : 1;
		this.servedValue += size * (isOnTime ? this.kind.onTimeValue() : this.kind.lateValue());
	}

	void rejected(boolean isRetry, double waitedMillis) {
		this.rejectedTwice += isRetry ? 1 : 0;
		this.rejectedWaitMillis += waitedMillis;
	}

	int offeredCount() {
		return this.offered;
	}

	double servedShare() {
		return (double) (this.onTime + this.late) / Math.max(1, this.offered);
	}

	double onTimeShare() {
		return (double) this.onTime / Math.max(1, this.offered);
	}

	double servedValueShare() {
		return this.servedValue / Math.max(1e-9, this.offeredValue);
	}

	double offeredValue() {
		return this.offeredValue;
	}

	double servedValue() {
		return this.servedValue;
	}

	/**
	 * Returns the mean time for which refused requests were held.
	 * @return time in milliseconds per asked request
	 */
	double rejectedWaitMillis() {
		return this.rejectedWaitMillis / Math.max(1, this.offered);
	}

	double rejectedTwiceShare() {
		return (double) this.rejectedTwice / Math.max(1, this.offered);
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "%-8s asked %4d on time %.3f served %.3f worth %.3f twice %.3f held %4.0f",
				this.kind.name(), this.offered, onTimeShare(), servedShare(), servedValueShare(), rejectedTwiceShare(),
				rejectedWaitMillis());
	}

}
