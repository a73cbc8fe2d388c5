package carawayswitch.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Expected length of answers by profile and organisation, as a quantile over recent
 * answers. Starts with the profile's prior. Keeps a bounded number of entries, the most
 * recently used ones. Not safe for use by several threads.
 */
public final class LengthEstimate {

	private static final int MAX_ENTRIES = 4096;

	private static final int BUCKETS = 20;

	private static final double PRIOR_WEIGHT = 4;

	private static final double DECAY = 0.98;

	private static final double QUANTILE = 0.6;

	private final Map<String, double[]> entries = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, double[]> eldest) {
			return size() > MAX_ENTRIES;
		}
	};

	/**
	 * Returns the expected length of an answer.
	 * @param profile qualified name of the profile
	 * @param organisation qualified name of the organisation
	 * @param prior the profile's expected length in tokens
	 * @return the expected length in tokens
	 */
	public int expected(String profile, String organisation, int prior) {
		double[] counts = this.entries.get(key(profile, organisation));
		if (counts == null) {
			return prior;
		}
		double total = PRIOR_WEIGHT;
		for (double count : counts) {
			total += count;
		}
		double wanted = total * QUANTILE;
		int priorBucket = bucket(prior);
		for (int i = 0; i < BUCKETS; i++) {
			wanted -= counts[i] + ((i == priorBucket) ? PRIOR_WEIGHT : 0);
			if (wanted <= 0) {
				return (i == priorBucket) ? prior : (3 << i) / 2;
			}
		}
		return 1 << BUCKETS;
	}

	/**
	 * Learns from a finished answer.
	 * @param profile qualified name of the profile
	 * @param organisation qualified name of the organisation
	 * @param tokens length of the answer in tokens
	 */
	public void onFinished(String profile, String organisation, int tokens) {
		double[] counts = this.entries.computeIfAbsent(key(profile, organisation), (key) -> new double[BUCKETS]);
		for (int i = 0; i < BUCKETS; i++) {
			counts[i] *= DECAY;
		}
		counts[bucket(tokens)]++;
	}

	private static int bucket(int tokens) {
		return Math.min(BUCKETS - 1, 31 - Integer.numberOfLeadingZeros(Math.max(1, tokens)));
	}

	private static String key(String profile, String organisation) {
		return profile + " " + organisation;
	}

}
