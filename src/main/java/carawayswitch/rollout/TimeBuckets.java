package carawayswitch.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Histogram of times with buckets whose bounds grow by a constant factor. Invariant: no
 * count is negative, and the total is their sum. Not thread-safe.
 */
final class TimeBuckets {

	/** Factor between the bounds of two buckets. */
	private static final double FACTOR = 1.25;

	private static final double LOG_FACTOR = Math.log(FACTOR);

	/** Number of buckets; the last one begins at 28 s. */
	private static final int BUCKETS = 48;

	/** Bucket of relative times that are as long as the one they are relative to. */
	static final int BASE = 16;

	private final long[] counts = new long[BUCKETS];

	private long total;

	static int bucket(double millis) {
		return (millis < 1) ? 0 : Math.min(BUCKETS - 1, 1 + (int) (Math.log(millis) / LOG_FACTOR));
	}

	void add(double millis) {
		add(bucket(millis), 1);
	}

	private void add(int bucket, long count) {
		this.counts[Math.max(0, Math.min(BUCKETS - 1, bucket))] += count;
		this.total += count;
	}

	TimeBuckets addAll(TimeBuckets other, int sign) {
		for (int i = 0; i < BUCKETS; i++) {
			this.counts[i] = Math.max(0, this.counts[i] + sign * other.counts[i]);
		}
		this.total = 0;
		for (long count : this.counts) {
			this.total += count;
		}
		return this;
	}

	/**
	 * Adds times relative to one of them.
	 * @param other the times
	 * @param bucket bucket of the time that falls into {@link #BASE}
	 */
	void addRelative(TimeBuckets other, int bucket) {
		for (int i = 0; i < BUCKETS; i++) {
			if (other.counts[i] > 0) {
				add(i - bucket + BASE, other.counts[i]);
			}
		}
	}

	/**
	 * Adds counts as they are sent.
	 * @param pairs pairs of bucket and count
	 */
	void addPairs(List<Integer> pairs) {
		for (int i = 0; i + 1 < pairs.size(); i += 2) {
			add(pairs.get(i), pairs.get(i + 1));
		}
	}

	List<Integer> pairs() {
		List<Integer> pairs = new ArrayList<>();
		for (int i = 0; i < BUCKETS; i++) {
			if (this.counts[i] > 0) {
				pairs.add(i);
				pairs.add((int) Math.min(Integer.MAX_VALUE, this.counts[i]));
			}
		}
		return pairs;
	}

	long total() {
		return this.total;
	}

	/**
	 * Returns the bucket below whose end a share of the times lies.
	 * @param share the share, from 0 to 1
	 * @return number of the bucket
	 */
	int quantile(double share) {
		long below = 0;
		for (int i = 0; i < BUCKETS; i++) {
			below += this.counts[i];
			if (below >= share * this.total) {
				return i;
			}
		}
		return BUCKETS - 1;
	}

	/**
	 * Counts the times in later buckets.
	 * @param bucket number of a bucket
	 * @return number of times beyond its end
	 */
	long beyond(int bucket) {
		long beyond = 0;
		for (int i = bucket + 1; i < BUCKETS; i++) {
			beyond += this.counts[i];
		}
		return beyond;
	}

}
