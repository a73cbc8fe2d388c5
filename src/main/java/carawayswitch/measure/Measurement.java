package carawayswitch.measure;

import java.util.List;
import java.util.function.Predicate;

/**
 * Results of a workload under one policy, with and without its floods. Immutable.
 *
 * @param workload the workload
 * @param policy the policy
 * @param withFloods results of all requests
 * @param withoutFloods results without the flood requests; the same as {@code withFloods}
 * if the workload has no flood
 * @param offlineBoundTokens upper bound on the tokens that the engines can generate for
 * the requests
 */
record Measurement(Workload workload, MeasuredPolicy policy, SimulationReport withFloods,
		SimulationReport withoutFloods, double offlineBoundTokens) {

	static Measurement run(Workload workload, MeasuredPolicy policy, long seed) {
		List<Request> all = RequestGenerator.generate(workload, true, seed);
		SimulationReport withFloods = new WorkloadSimulation(workload, policy, seed).run(all);
		SimulationReport withoutFloods = workload.hasFlood()
				? new WorkloadSimulation(workload, policy, seed).run(RequestGenerator.generate(workload, false, seed))
				: withFloods;
		return new Measurement(workload, policy, withFloods, withoutFloods, OfflineBound.maxTokens(workload, all));
	}

	private int maxFloodUrgency() {
		return this.workload.streams()
			.stream()
			.filter(RequestStream::flood)
			.mapToInt((stream) -> stream.kind().urgency())
			.max()
			.orElse(Integer.MAX_VALUE);
	}

	/**
	 * Returns the lowest ratio of the goodput with floods to that without, over the kinds
	 * that do not flood and are at least as urgent as the most urgent flood.
	 * @return the ratio, or NaN if the workload has no flood or loses an engine
	 */
	double minGoodputRetention() {
		double minRetention = Double.NaN;
		if (!this.workload.hasFlood() || this.workload.losesEngine()) {
			return minRetention;
		}
		for (WorkKind kind : WorkKind.values()) {
			boolean floods = this.workload.streams()
				.stream()
				.anyMatch((stream) -> stream.flood() && stream.kind() == kind);
			if (kind.urgency() < maxFloodUrgency() || floods) {
				continue;
			}
			Predicate<Request> ofKind = (request) -> request.kind() == kind;
			double retention = this.withFloods.goodput(ofKind) / this.withoutFloods.goodput(ofKind);
			minRetention = Double.isNaN(minRetention) ? retention : Math.min(minRetention, retention);
		}
		return minRetention;
	}

	/**
	 * Returns the ratio of the goodput with floods to that without, over all requests
	 * that do not belong to a flood.
	 * @return the ratio
	 */
	double nonFloodGoodputRetention() {
		Predicate<Request> others = (request) -> !request.flood();
		return this.withFloods.goodput(others) / this.withoutFloods.goodput(others);
	}

}
