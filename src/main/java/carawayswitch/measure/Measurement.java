package carawayswitch.measure;

import java.util.List;
import java.util.function.Predicate;

/**
 * A workload under one policy, with and without its floods. Immutable.
 *
 * @param workload the workload
 * @param policy the policy
 * @param flooded figures of the whole workload
 * @param calm figures of the workload without its floods
 * @param offlineBoundTokens tokens that the engines could generate for the requests at
 * most
 */
record Measurement(Workload workload, MeasuredPolicy policy, SimulationReport flooded, SimulationReport calm,
		double offlineBoundTokens) {

	static Measurement run(Workload workload, MeasuredPolicy policy, long seed) {
		List<Request> all = RequestGenerator.generate(workload, true, seed);
		SimulationReport flooded = new Simulation(workload, policy, seed).run(all);
		SimulationReport calm = workload.flooded()
				? new Simulation(workload, policy, seed).run(RequestGenerator.generate(workload, false, seed))
				: flooded;
		return new Measurement(workload, policy, flooded, calm, OfflineBound.tokens(workload, all));
	}

	private int floodUrgency() {
		return this.workload.streams()
			.stream()
			.filter(Stream::flood)
			.mapToInt((stream) -> stream.kind().urgency())
			.max()
			.orElse(Integer.MAX_VALUE);
	}

	double worstKept() {
		double worst = Double.NaN;
		if (!this.workload.flooded() || this.workload.endpointLost()) {
			return worst;
		}
		for (WorkKind kind : WorkKind.values()) {
			boolean flooding = this.workload.streams()
				.stream()
				.anyMatch((stream) -> stream.flood() && stream.kind() == kind);
			if (kind.urgency() < floodUrgency() || flooding) {
				continue;
			}
			Predicate<Request> ofKind = (request) -> request.kind() == kind;
			double kept = this.flooded.goodput(ofKind) / this.calm.goodput(ofKind);
			worst = Double.isNaN(worst) ? kept : Math.min(worst, kept);
		}
		return worst;
	}

	double keptByOthers() {
		Predicate<Request> others = (request) -> !request.flood();
		return this.flooded.goodput(others) / this.calm.goodput(others);
	}

}
