package carawayswitch.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses an endpoint for work: the best of a few random endpoints and of the endpoint
 * that most likely holds the prompt's prefix. The random sample keeps hosts that see the
 * same old digest from choosing the same endpoint. Stateless but for the random generator
 * that is passed in.
 */
public final class EndpointLoadBalancer {

	/** Number of endpoints that are compared. */
	static final int SAMPLE_SIZE = 3;

	private static final double CROSS_ZONE_MILLIS = 2;

	private EndpointLoadBalancer() {
	}

	/**
	 * Chooses an endpoint.
	 * @param candidates the endpoints that may serve the work
	 * @param work the work
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return the endpoint, or null if there is no candidate
	 */
	public static Candidate choose(List<Candidate> candidates, Work work, RandomGenerator random, long now) {
		if (candidates.isEmpty()) {
			return null;
		}
		Candidate best = (work.prefixHash() != 0) ? rendezvousChoice(candidates, work.prefixHash()) : null;
		double bestMillis = (best != null) ? estimateMillis(best, work, work.prefixTokens(), now) : Double.MAX_VALUE;
		boolean compareAll = candidates.size() <= SAMPLE_SIZE;
		for (int i = 0; i < Math.min(SAMPLE_SIZE, candidates.size()); i++) {
			Candidate candidate = candidates.get(compareAll ? i : random.nextInt(candidates.size()));
			double estimate = estimateMillis(candidate, work, 0, now);
			boolean alreadyEstimated = candidate == best;
			if (!alreadyEstimated && estimate < bestMillis) {
				best = candidate;
				bestMillis = estimate;
			}
		}
		return best;
	}

	private static double estimateMillis(Candidate candidate, Work work, int cachedTokens, long now) {
		int cached = Math.min(cachedTokens, work.promptTokens());
		return candidate.view().estimateMillis(work, cached, now) + (candidate.sameZone() ? 0 : CROSS_ZONE_MILLIS);
	}

	private static Candidate rendezvousChoice(List<Candidate> candidates, long prefixHash) {
		Candidate holder = null;
		long highest = Long.MIN_VALUE;
		for (Candidate candidate : candidates) {
			long score = MurmurHash3.hash32(prefixHash, candidate.view().id().hashCode());
			if (score > highest) {
				highest = score;
				holder = candidate;
			}
		}
		return holder;
	}

	/**
	 * An endpoint that may serve the work. Immutable.
	 *
	 * @param view what is known of its load
	 * @param sameZone true if it lies in the availability zone of this host
	 */
	public record Candidate(EndpointLoadView view, boolean sameZone) {

	}

}
