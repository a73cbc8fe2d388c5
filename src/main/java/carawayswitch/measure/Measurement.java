package carawayswitch.measure;

import java.util.List;
import java.util.function.Predicate;

/**
 * A workload under one policy, with and without its floods. Immutable.
 *
 * @param workload the workload
 * @param policy the policy
 * @param withFloods figures of the whole workload
 * @param withoutFloods figures of the workload without its floods
 * @param offlineBoundTokens tokens that the engines could generate for the requests at
 * most
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

	double nonFloodGoodputRetention() {
		Predicate<Request> others = (request) -> !request.flood();
		return this.withFloods.goodput(others) / this.withoutFloods.goodput(others);
	}

}
