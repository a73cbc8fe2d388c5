package carawayswitch.route;

import java.util.List;

/**
 * Routing rule for the requests of one host name and path prefix. Immutable.
 *
 * @param name name of the route
 * @param hostName lower-case host name
 * @param pathPrefix prefix of the path
 * @param services services with their weights; the weights sum to more than 0
 * @param kind retry semantics
 * @param timeoutMillis maximum time until the end of the answer in milliseconds
 * @param objectiveMillis target latency until the answer, or its first event, in
 * milliseconds
 * @param maxAttempts maximum number of endpoints on which one request may run
 * @param priority priority; 0 is the most urgent
 * @param keyRequired true if a request needs an API key
 * @param resumable true if a stream may be resumed at another endpoint
 * @param maxGapMillis target for the longest pause between two events in milliseconds
 */
public record Route(String name, String hostName, String pathPrefix, List<WeightedService> services, RequestKind kind,
		long timeoutMillis, long objectiveMillis, int maxAttempts, int priority, boolean keyRequired, boolean resumable,
		long maxGapMillis) {

	/**
	 * Returns whether a request that may already have run may be retried.
	 * @return true if a retry is allowed
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Returns whether the requests are streams that clients may take up again.
	 * @return true if a stream may be resumed
	 */
	public boolean resumesStreams() {
		return this.kind == RequestKind.STREAMING && this.resumable;
	}

	/**
	 * Chooses a service with a probability proportional to its weight.
	 * @param hash uniformly distributed hash of the request; equal hashes choose the same
	 * service
	 * @return name of the service
	 */
	public String chooseService(int hash) {
		int totalWeight = this.services.stream().mapToInt(WeightedService::weight).sum();
		int position = Math.floorMod(hash, Math.max(1, totalWeight));
		for (WeightedService candidate : this.services) {
			position -= candidate.weight();
			if (position < 0) {
				return candidate.service();
			}
		}
		return this.services.get(0).service();
	}

	/**
	 * A service and its share of a route's requests. Immutable.
	 *
	 * @param service name of the service
	 * @param weight weight relative to the other services
	 */
	public record WeightedService(String service, int weight) {

	}

}
