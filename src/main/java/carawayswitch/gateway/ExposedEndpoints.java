package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointEntry;

/**
 * Endpoints that take part while a rollout runs. A target with a small share is served by
 * few of its endpoints, so that each has about as much to do as one of the other
 * versions, which shows faults under load, and so that the idle ones do not count as
 * capacity. Stateless.
 */
final class ExposedEndpoints {

	/**
	 * Fewest endpoints of a version that take part, if it has many: one alone may be slow
	 * or fail for reasons of its own.
	 */
	static final int FEWEST = 4;

	/** Largest part of the endpoints of a small service that this makes. */
	private static final int FEWEST_PART = 4;

	/** Endpoints per share of the target, relative to those of the other versions. */
	private static final double RESERVE = 1.25;

	/**
	 * Number of the endpoints of a version without new requests at which streams are
	 * resumed, as a share of all endpoints.
	 */
	private static final double RESUMED_SHARE = 0.25;

	private ExposedEndpoints() {
	}

	/**
	 * Returns the endpoints that take part.
	 * @param service name of the service
	 * @param accepting its endpoints that accept requests, ordered by id
	 * @param gate versions at which requests may begin
	 * @param resumedVersions versions at which streams are resumed
	 * @param now monotonic time in milliseconds
	 * @return the endpoints, ordered by id
	 */
	static List<EndpointEntry> of(String service, List<EndpointEntry> accepting, VersionGate gate,
			Set<String> resumedVersions, long now) {
		if (gate.open(service)) {
			return accepting;
		}
		Set<String> serving = accepting.stream().map(EndpointEntry::version).collect(Collectors.toSet());
		Map<String, Double> exposures = new HashMap<>();
		serving.forEach((version) -> exposures.put(version, gate.exposure(service, version, serving, now)));
		long unrestricted = accepting.stream().filter((endpoint) -> exposures.get(endpoint.version()) >= 1).count();
		int fewest = Math.max(2, Math.min(FEWEST, accepting.size() / FEWEST_PART));
		Map<String, Integer> counts = new HashMap<>();
		List<EndpointEntry> result = new ArrayList<>();
		for (EndpointEntry endpoint : accepting) {
			double exposure = exposures.get(endpoint.version());
			double most = 0;
			if (exposure > 0) {
				most = Math.max(fewest, Math.ceil(RESERVE * exposure * unrestricted));
			}
			else if (resumedVersions.contains(endpoint.version())) {
				most = Math.max(fewest, RESUMED_SHARE * accepting.size());
			}
			if (exposure >= 1 || counts.merge(endpoint.version(), 1, Integer::sum) <= most) {
				result.add(endpoint);
			}
		}
		return result;
	}

}
