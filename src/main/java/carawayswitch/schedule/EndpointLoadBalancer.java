package carawayswitch.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Load balancer that compares a small random sample of endpoints, plus the endpoint that
 * most likely has the prompt's prefix in its cache, and chooses the one with the shortest
 * estimated completion time. The random sample keeps hosts that share the same stale
 * digest from all choosing the same endpoint. Keeps no state; the random generator is
 * passed in.
 */
public final class EndpointLoadBalancer {

	/** Number of endpoints in the random sample. */
	static final int SAMPLE_SIZE = 3;

	/** Estimated cost of crossing availability zones, in milliseconds. */
	private static final double CROSS_ZONE_MILLIS = 2;

	private EndpointLoadBalancer() {
	}

	/**
	 * Chooses the endpoint with the shortest estimated completion time.
	 * @param candidates the endpoints that may serve the work
	 * @param work the work to place
	 * @param random source of random numbers
	 * @param now current time in milliseconds
	 * @return the chosen endpoint, or null if there are no candidates
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

	/**
	 * Chooses an endpoint by rendezvous hashing, so that all hosts send prompts with the
	 * same prefix to the same endpoint.
	 * @param candidates the endpoints that may serve the work; not empty
	 * @param prefixHash hash of the prompt's prefix
	 * @return the endpoint with the highest score
	 */
	private static Candidate rendezvousChoice(List<Candidate> candidates, long prefixHash) {
		Candidate preferred = null;
		long highestScore = Long.MIN_VALUE;
		for (Candidate candidate : candidates) {
			long score = MurmurHash3.hash32(prefixHash, candidate.view().id().hashCode());
			if (score > highestScore) {
				highestScore = score;
				preferred = candidate;
			}
		}
		return preferred;
	}

	/**
	 * Endpoint that may serve the work. Immutable.
	 *
	 * @param view this host's view of the endpoint's load
	 * @param sameZone true if the endpoint is in the availability zone of this host
	 */
	public record Candidate(EndpointLoadView view, boolean sameZone) {

	}

}
