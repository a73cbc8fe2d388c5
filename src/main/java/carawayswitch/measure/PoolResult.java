package carawayswitch.measure;

import java.util.Locale;

/**
 * Counts how the requests of one kind ended and the value that they earned. Not safe for
 * use by several threads.
 */
final class PoolResult {

	private final PoolSite.Kind kind;

	/** Size, relative to the mean of the kind, from which a request counts as large. */
	private static final double LARGE_SIZE = 2;

	/** Share of the objective within which a request is to be rejected, if at all. */
	private static final double PROMPT_REJECTION_SHARE = 0.125;

	private int offered;

	private int offeredLarge;

	private int servedLarge;

	private int onTime;

	private int late;

	private int rejectedTwice;

	private double offeredValue;

	private double servedValue;

	private int rejections;

	private int slowRejections;

	private double rejectedWaitMillis;

	PoolResult(PoolSite.Kind kind) {
		this.kind = kind;
	}

	/**
	 * Counts a request of a client. Its retry is not counted again.
	 * @param relativeSize size relative to the mean of the kind
	 */
	void offered(double relativeSize) {
		this.offered++;
		this.offeredLarge += (relativeSize >= LARGE_SIZE) ? 1 : 0;
		this.offeredValue += relativeSize * this.kind.onTimeValue();
	}

	/**
	 * Counts an answer that the client received before it gave up.
	 * @param relativeSize size relative to the mean of the kind
	 * @param withinObjective true if the first event was on time
	 */
	void served(double relativeSize, boolean withinObjective) {
		this.servedLarge += (relativeSize >= LARGE_SIZE) ? 1 : 0;
		this.onTime += withinObjective ? 1 : 0;
		this.late += withinObjective ? 0 : 1;
		this.servedValue += relativeSize * (withinObjective ? this.kind.onTimeValue() : this.kind.lateValue());
	}

	/**
	 * Counts a rejection.
	 * @param retried true if the client had been rejected before
	 * @param waitedMillis time from the offer to the rejection in milliseconds
	 */
	void rejected(boolean retried, double waitedMillis) {
		this.rejectedTwice += retried ? 1 : 0;
		this.rejections++;
		this.slowRejections += (waitedMillis > this.kind.objectiveMillis() * PROMPT_REJECTION_SHARE) ? 1 : 0;
		this.rejectedWaitMillis += waitedMillis;
	}

	String kindName() {
		return this.kind.name();
	}

	int offeredCount() {
		return this.offered;
	}

	double servedShare() {
		return (double) (this.onTime + this.late) / Math.max(1, this.offered);
	}

	/**
	 * Returns the share of the large requests, about a tenth of all, that were served.
	 * @return share from 0 to 1
	 */
	double largeServedShare() {
		return (double) this.servedLarge / Math.max(1, this.offeredLarge);
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
	 * Returns the time that requests waited before they were rejected, averaged over all
	 * offered requests.
	 * @return time in milliseconds
	 */
	double rejectedWaitMillis() {
		return this.rejectedWaitMillis / Math.max(1, this.offered);
	}

	int rejectionCount() {
		return this.rejections;
	}

	/**
	 * Returns the number of rejections that came later than an eighth of the objective.
	 * @return the number, retries included
	 */
	int slowRejectionCount() {
		return this.slowRejections;
	}

	double rejectedTwiceShare() {
		return (double) this.rejectedTwice / Math.max(1, this.offered);
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT,
				"%-8s offered %4d on time %.3f served %.3f value %.3f rejected twice %.3f wait %4.0f ms",
				this.kind.name(), this.offered, onTimeShare(), servedShare(), servedValueShare(), rejectedTwiceShare(),
				rejectedWaitMillis());
	}

}
