package carawayswitch.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import carawayswitch.message.EndpointLimit;

/**
 * Limits that engines have named in their latest answers to this host. Not thread-safe.
 */
final class NamedLimits {

	private final Map<String, EndpointLimit> byEngine = new HashMap<>();

	/**
	 * Records the head of an answer.
	 * @param placement place of the attempt
	 * @param requestsPerSecond limit that the engine names, or 0
	 * @return the limit, if the engine names one
	 */
	Optional<EndpointLimit> onHead(Placement placement, double requestsPerSecond) {
		if (requestsPerSecond <= 0) {
			this.byEngine.remove(placement.endpoint());
			return Optional.empty();
		}
		EndpointLimit limit = new EndpointLimit(placement.id(), placement.service(), placement.endpoint(),
				requestsPerSecond);
		this.byEngine.put(placement.endpoint(), limit);
		return Optional.of(limit);
	}

	void retain(Set<String> engines) {
		this.byEngine.keySet().retainAll(engines);
	}

	Collection<EndpointLimit> all() {
		return this.byEngine.values();
	}

}
