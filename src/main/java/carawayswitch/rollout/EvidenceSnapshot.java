package carawayswitch.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import carawayswitch.message.VersionCounts;
import carawayswitch.message.VersionEvidence;

/**
 * Sums over all hosts at one time, by route, and for some endpoints by endpoint.
 * Unmodified once created.
 */
final class EvidenceSnapshot {

	/**
	 * Route under which the sum of all routes is kept. It holds failures only: the routes
	 * differ in their times, and the versions in their mix of routes.
	 */
	private static final String ALL_ROUTES = "";

	private static final RouteTally NOTHING = new RouteTally();

	private final Map<String, RouteTally> target = new HashMap<>();

	private final Map<String, RouteTally> others = new HashMap<>();

	private final Map<String, Map<String, RouteTally>> targetEndpoints = new HashMap<>();

	private final Map<String, Map<String, RouteTally>> otherEndpoints = new HashMap<>();

	private EvidenceSnapshot() {
	}

	/**
	 * Adds up reports.
	 * @param reports latest report of each host
	 * @param targetVersion the target
	 * @return the sums
	 */
	static EvidenceSnapshot of(Collection<VersionEvidence> reports, String targetVersion) {
		EvidenceSnapshot snapshot = new EvidenceSnapshot();
		reports.forEach((report) -> report.counts().forEach((counts) -> snapshot.add(counts, targetVersion)));
		sumUp(snapshot.target);
		sumUp(snapshot.others);
		return snapshot;
	}

	private void add(VersionCounts counts, String targetVersion) {
		boolean atTarget = counts.version().equals(targetVersion);
		(atTarget ? this.target : this.others).computeIfAbsent(counts.route(), (route) -> new RouteTally()).add(counts);
		if (!counts.endpoint().isEmpty()) {
			(atTarget ? this.targetEndpoints : this.otherEndpoints)
				.computeIfAbsent(counts.route(), (route) -> new HashMap<>())
				.computeIfAbsent(counts.endpoint(), (endpoint) -> new RouteTally())
				.add(counts);
		}
	}

	private static void sumUp(Map<String, RouteTally> side) {
		if (side.size() > 1) {
			RouteTally sum = new RouteTally();
			side.values().forEach(sum::addFailures);
			side.put(ALL_ROUTES, sum);
		}
	}

	Set<String> routes() {
		return this.target.keySet();
	}

	RouteTally target(String route) {
		return this.target.getOrDefault(route, NOTHING);
	}

	RouteTally others(String route) {
		return this.others.getOrDefault(route, NOTHING);
	}

	Map<String, RouteTally> targetEndpoints(String route) {
		return this.targetEndpoints.getOrDefault(route, Map.of());
	}

	Map<String, RouteTally> otherEndpoints(String route) {
		return this.otherEndpoints.getOrDefault(route, Map.of());
	}

}
