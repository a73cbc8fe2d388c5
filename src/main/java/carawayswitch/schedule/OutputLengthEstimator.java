package carawayswitch.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the length of answers by profile and organisation, as a quantile of a
 * decaying histogram of recent answers. The profile's configured length serves as prior.
 * Keeps a bounded number of histograms and evicts the least recently used one. Not
 * thread-safe.
 */
public final class OutputLengthEstimator {

	private static final int MAX_HISTOGRAMS = 4096;

	/**
	 * Number of buckets. Bucket i counts answers of 2^i to 2^(i+1) - 1 tokens, the last
	 * one also longer answers.
	 */
	private static final int BUCKET_COUNT = 20;

	/** Number of answers that the prior counts for. */
	private static final double PRIOR_WEIGHT = 4;

	/** Factor by which each new answer reduces the weight of earlier ones. */
	private static final double DECAY_FACTOR = 0.98;

	private static final double QUANTILE = 0.6;

	private final Map<String, double[]> histograms = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, double[]> eldest) {
			return size() > MAX_HISTOGRAMS;
		}
	};

	/**
	 * Returns the expected length of an answer, or the prior if no answer was recorded.
	 * @param profile qualified name of the profile
	 * @param organisation qualified name of the organisation
	 * @param priorTokens the profile's expected length in tokens
	 * @return the expected length in tokens
	 */
	public int expectedTokens(String profile, String organisation, int priorTokens) {
		double[] counts = this.histograms.get(key(profile, organisation));
		if (counts == null) {
			return priorTokens;
		}
		double totalWeight = PRIOR_WEIGHT;
		for (double count : counts) {
			totalWeight += count;
		}
		double remainingWeight = totalWeight * QUANTILE;
		int priorBucket = bucket(priorTokens);
		for (int i = 0; i < BUCKET_COUNT; i++) {
			remainingWeight -= counts[i] + ((i == priorBucket) ? PRIOR_WEIGHT : 0);
			if (remainingWeight <= 0) {
				return (i == priorBucket) ? priorTokens : (3 << i) / 2;
			}
		}
		return 1 << BUCKET_COUNT;
	}

	/**
	 * Records the length of a finished answer.
	 * @param profile qualified name of the profile
	 * @param organisation qualified name of the organisation
	 * @param tokens length of the answer in tokens
	 */
	public void onFinished(String profile, String organisation, int tokens) {
		double[] counts = this.histograms.computeIfAbsent(key(profile, organisation),
				(key) -> new double[BUCKET_COUNT]);
		for (int i = 0; i < BUCKET_COUNT; i++) {
			counts[i] *= DECAY_FACTOR;
		}
		counts[bucket(tokens)]++;
	}

	private static int bucket(int tokens) {
		return Math.min(BUCKET_COUNT - 1, 31 - Integer.numberOfLeadingZeros(Math.max(1, tokens)));
	}

	private static String key(String profile, String organisation) {
		return profile + " " + organisation;
	}

}
