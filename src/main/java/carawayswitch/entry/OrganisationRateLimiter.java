package carawayswitch.entry;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Token-bucket rate limiter with one bucket for each organisation. Each host admits its
 * equal share of the limit, so that the limit holds over all hosts without coordination.
 * Safe for use by several threads.
 */
final class OrganisationRateLimiter {

	private static final double BURST_SECONDS = 2;

	private static final double MILLIS_PER_SECOND = 1000;

	private final ConcurrentMap<String, TokenBucket> buckets = new ConcurrentHashMap<>();

	/**
	 * Admits or rejects work, and charges its cost to the bucket if it is admitted. Work
	 * that costs more than the burst size raises the burst size to its cost; otherwise it
	 * could never be admitted.
	 * @param organisation qualified name of the organisation
	 * @param tokensPerSecond limit over all hosts in tokens per second; 0 means no limit
	 * @param hosts number of hosts that share the limit
	 * @param cost cost of the work in tokens
	 * @param now time on the monotonic clock in milliseconds
	 * @return true if the work is admitted
	 */
	boolean tryAcquire(String organisation, long tokensPerSecond, int hosts, double cost, long now) {
		if (tokensPerSecond == 0) {
			return true;
		}
		double hostTokensPerSecond = (double) tokensPerSecond / Math.max(1, hosts);
		double burstTokens = Math.max(hostTokensPerSecond * BURST_SECONDS, cost);
		return this.buckets.compute(organisation, (key, bucket) -> {
			double refilled = (bucket != null)
					? bucket.tokens() + (now - bucket.updatedMillis()) * hostTokensPerSecond / MILLIS_PER_SECOND
					: burstTokens;
			double available = Math.min(burstTokens, refilled);
			boolean admitted = available >= cost;
			return new TokenBucket(admitted ? available - cost : available, now, admitted);
		}).admitted();
	}

	private record TokenBucket(double tokens, long updatedMillis, boolean admitted) {

	}

}
