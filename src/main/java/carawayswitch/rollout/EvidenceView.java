package carawayswitch.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A way to look at the evidence on one route: all answers as they are, or the times of
 * some endpoints relative to the speed of each. Engines of one version differ in speed,
 * which hides late answers of the fast ones. Immutable.
 *
 * @param route name of the route
 * @param speeds bucket of a usual time of each endpoint, or null for answers as they are
 */
record EvidenceView(String route, Map<String, Integer> speeds) {

	/**
	 * Quantile of the times that stands for the speed of an endpoint; most answers of a
	 * bad version are sound, so that it is low.
	 */
	private static final double SPEED_QUANTILE = 0.3;

	/** Fewest times from which the speed of an endpoint is derived. */
	private static final int MIN_TIMES = 8;

	/**
	 * Returns the views of a route.
	 * @param route name of the route
	 * @param current the evidence until now
	 * @return the views
	 */
	static List<EvidenceView> of(String route, EvidenceSnapshot current) {
		Map<String, Integer> speeds = new HashMap<>();
		addSpeeds(speeds, current.targetEndpoints(route));
		addSpeeds(speeds, current.otherEndpoints(route));
		return List.of(new EvidenceView(route, null), new EvidenceView(route, speeds));
	}

	private static void addSpeeds(Map<String, Integer> speeds, Map<String, RouteTally> endpoints) {
		endpoints.forEach((endpoint, tally) -> {
			if (tally.answerTimes().total() >= MIN_TIMES) {
				speeds.put(endpoint, tally.answerTimes().quantile(SPEED_QUANTILE));
			}
		});
	}

	RouteTally target(EvidenceSnapshot snapshot) {
		return (this.speeds != null) ? relative(snapshot.targetEndpoints(this.route)) : snapshot.target(this.route);
	}

	RouteTally others(EvidenceSnapshot snapshot) {
		return (this.speeds != null) ? relative(snapshot.otherEndpoints(this.route)) : snapshot.others(this.route);
	}

	private RouteTally relative(Map<String, RouteTally> endpoints) {
		RouteTally sum = new RouteTally();
		endpoints.forEach((endpoint, tally) -> {
			Integer speed = this.speeds.get(endpoint);
			if (speed != null) {
				sum.addRelative(tally, speed);
			}
		});
		return sum;
	}

	FaultTest.Result compare(EvidenceSnapshot snapshot, double marginFactor) {
		return compare(target(snapshot), others(snapshot), marginFactor);
	}

	FaultTest.Result compare(RouteTally target, RouteTally others, double marginFactor) {
		return (this.speeds != null) ? FaultTest.compareRelative(target, others, marginFactor)
				: FaultTest.compare(target, others, marginFactor);
	}

	/**
	 * Returns the bad answers and all answers of the endpoint of the target with the most
	 * bad ones, if several are known.
	 * @param measure what counts as bad
	 * @param current the evidence until now
	 * @param from the evidence at the start of the period, or null for all
	 * @return both numbers; 0 if fewer than two endpoints are known
	 */
	long[] worstEndpoint(FaultTest.Measure measure, EvidenceSnapshot current, EvidenceSnapshot from) {
		Map<String, RouteTally> endpoints = current.targetEndpoints(this.route);
		long[] worst = { 0, 0 };
		if (endpoints.size() < 2) {
			return worst;
		}
		for (Map.Entry<String, RouteTally> entry : endpoints.entrySet()) {
			RouteTally before = (from != null) ? from.targetEndpoints(this.route).get(entry.getKey()) : null;
			RouteTally tally = entry.getValue().since(before);
			if (this.speeds != null) {
				RouteTally relative = new RouteTally();
				if (this.speeds.containsKey(entry.getKey())) {
					relative.addRelative(tally, this.speeds.get(entry.getKey()));
				}
				tally = relative;
			}
			if (measure.bad(tally) > worst[0]) {
				worst = new long[] { measure.bad(tally), measure.all(tally) };
			}
		}
		return worst;
	}

}
