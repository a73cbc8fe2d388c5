package carawayswitch.rollout;

import carawayswitch.message.VersionCounts;

/**
 * Counts and times of the attempts of one route at one version. Invariant: no count is
 * negative. Not thread-safe.
 */
final class RouteTally {

	private long sent;

	private long ended;

	private long failed;

	private final TimeBuckets answerTimes = new TimeBuckets();

	private final TimeBuckets pauses = new TimeBuckets();

	void onSent() {
		this.sent++;
	}

	void onEnded(boolean failure) {
		this.ended++;
		this.failed += failure ? 1 : 0;
	}

	TimeBuckets answerTimes() {
		return this.answerTimes;
	}

	TimeBuckets pauses() {
		return this.pauses;
	}

	long sent() {
		return this.sent;
	}

	long ended() {
		return this.ended;
	}

	long failed() {
		return this.failed;
	}

	RouteTally add(RouteTally other) {
		return combine(other, 1);
	}

	/**
	 * Adds the times to the first event or answer, relative to one time.
	 * @param other the tally whose times are added
	 * @param bucket bucket of that time
	 */
	void addRelative(RouteTally other, int bucket) {
		this.ended += other.ended;
		this.answerTimes.addRelative(other.answerTimes, bucket);
	}

	void addFailures(RouteTally other) {
		this.sent += other.sent;
		this.ended += other.ended;
		this.failed += other.failed;
	}

	/**
	 * Returns what was seen since an earlier tally.
	 * @param earlier the earlier tally, or null for none
	 * @return the difference
	 */
	RouteTally since(RouteTally earlier) {
		RouteTally difference = new RouteTally().add(this);
		return (earlier != null) ? difference.combine(earlier, -1) : difference;
	}

	private RouteTally combine(RouteTally other, int sign) {
		this.sent = Math.max(0, this.sent + sign * other.sent);
		this.ended = Math.max(0, this.ended + sign * other.ended);
		this.failed = Math.max(0, this.failed + sign * other.failed);
		this.answerTimes.addAll(other.answerTimes, sign);
		this.pauses.addAll(other.pauses, sign);
		return this;
	}

	void add(VersionCounts counts) {
		this.sent += counts.sent();
		this.ended += counts.ended();
		this.failed += counts.failed();
		this.answerTimes.addPairs(counts.answerTimes());
		this.pauses.addPairs(counts.pauses());
	}

	VersionCounts toMessage(String version, String route, String endpoint) {
		return new VersionCounts(version, route, this.sent, this.ended, this.failed, this.answerTimes.pairs(),
				this.pauses.pairs(), endpoint);
	}

}
