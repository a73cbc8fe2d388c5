package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.http.Json;

/**
 * Measurements of all policies under the same workloads, with a check of the bounds on
 * the current policy. Immutable and safe for use by several threads.
 *
 * <pre>
 * PolicyComparison comparison = PolicyComparison.run(1, PolicyComparison.workloadNames());
 * System.out.print(comparison.toText());
 * </pre>
 */
public final class PolicyComparison {

	private final long seed;

	private final List<Measurement> measurements;

	private PolicyComparison(long seed, List<Measurement> measurements) {
		this.seed = seed;
		this.measurements = measurements;
	}

	/**
	 * Returns the names of all workloads.
	 * @return the names
	 */
	public static List<String> workloadNames() {
		return Arrays.stream(Workload.values()).map(Workload::label).toList();
	}

	/**
	 * Simulates workloads under every policy.
	 * @param seed seed of the random numbers
	 * @param workloadNames names of the workloads, as given by {@link #workloadNames}
	 * @return the measurements
	 * @throws IllegalArgumentException if no workload has one of the names
	 */
	public static PolicyComparison run(long seed, List<String> workloadNames) {
		List<Measurement> measurements = workloadNames.parallelStream()
			.map((name) -> Workload.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')))
			.flatMap((workload) -> Stream.of(MeasuredPolicy.values())
				.map((policy) -> Measurement.run(workload, policy, seed)))
			.toList();
		return new PolicyComparison(seed, measurements);
	}

	/**
	 * Returns the bounds that the current policy violates.
	 * @return a line for each bound and workload that violates it
	 */
	public List<String> violatedBounds() {
		List<String> violations = new ArrayList<>();
		for (Bound bound : Bound.values()) {
			for (Measurement measurement : currentPolicyMeasurements()) {
				double value = bound.measuredValue(measurement);
				if (!bound.isSatisfiedBy(value)) {
					violations
						.add(String.format(Locale.ROOT, "%s: %s is %.3f; bound: %s %s", measurement.workload().label(),
								bound.description(), value, bound.relation(), bound.limit()));
				}
			}
		}
		return violations;
	}

	private List<Measurement> currentPolicyMeasurements() {
		return this.measurements.stream()
			.filter((measurement) -> measurement.policy() == MeasuredPolicy.CURRENT)
			.toList();
	}

	/**
	 * Returns the measurements as text.
	 * @return a table for each workload, then the bounds
	 */
	public String toText() {
		StringBuilder text = new StringBuilder("seed " + this.seed + '\n');
		Workload lastWorkload = null;
		for (Measurement measurement : this.measurements) {
			if (measurement.workload() != lastWorkload) {
				lastWorkload = measurement.workload();
				text.append(String.format(Locale.ROOT, "%n%s%n%-20s %7s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s %6s%n",
						lastWorkload.label(), "policy", "goodput", "top", "urg 2", "urg 1", "urg 0", "kept", "wasted",
						"jain", "p50 top", "p95 top", "p99 top", "shed"));
			}
			text.append(policyRow(measurement));
		}
		text.append('\n');
		for (Bound bound : Bound.values()) {
			text.append(boundRow(bound));
		}
		return text.toString();
	}

	private static String policyRow(Measurement measurement) {
		SimulationReport report = measurement.withFloods();
		return String.format(Locale.ROOT,
				"%-20s %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %6d ms %6d ms %6d ms %6d%n",
				measurement.policy().label(), report.goodput((request) -> true),
				report.goodput((request) -> request.kind().topTier()), goodput(report, 2), goodput(report, 1),
				goodput(report, 0), measurement.nonFloodGoodputRetention(), report.wastedPrefillShare(),
				report.jainIndex((request) -> !request.flood()), topTierFirstTokenMillis(report, 0.5),
				topTierFirstTokenMillis(report, 0.95), topTierFirstTokenMillis(report, 0.99), report.protectedShed());
	}

	private static double goodput(SimulationReport report, int urgency) {
		return report.goodput((request) -> request.kind().urgency() == urgency);
	}

	private static long topTierFirstTokenMillis(SimulationReport report, double quantile) {
		return report.firstTokenMillis((request) -> request.kind().topTier(), quantile);
	}

	private String boundRow(Bound bound) {
		StringBuilder values = new StringBuilder();
		boolean satisfied = true;
		for (Measurement measurement : currentPolicyMeasurements()) {
			double value = bound.measuredValue(measurement);
			if (!Double.isNaN(value)) {
				values.append(String.format(Locale.ROOT, " %s %.3f", measurement.workload().label(), value));
				satisfied &= bound.isSatisfiedBy(value);
			}
		}
		return String.format(Locale.ROOT, "%-6s %s, %s %s:%s%n", satisfied ? "kept" : "BROKEN", bound.description(),
				bound.relation(), bound.limit(), values);
	}

	/**
	 * Returns the measurements and violated bounds as JSON.
	 * @return the formatted JSON object
	 */
	public String toJson() {
		ObjectNode root = Json.object().put("seed", this.seed);
		ArrayNode rows = root.putArray("measurements");
		for (Measurement measurement : this.measurements) {
			SimulationReport report = measurement.withFloods();
			rows.addObject()
				.put("workload", measurement.workload().label())
				.put("policy", measurement.policy().label())
				.put("goodput", report.goodput((request) -> true))
				.put("goodput_top", report.goodput((request) -> request.kind().topTier()))
				.put("kept_by_others", measurement.nonFloodGoodputRetention())
				.put("wasted_prefill", report.wastedPrefillShare())
				.put("fairness", report.jainIndex((request) -> !request.flood()))
				.put("first_token_top_p95_ms", topTierFirstTokenMillis(report, 0.95))
				.put("protected_shed", report.protectedShed());
		}
		ArrayNode violations = root.putArray("broken_bounds");
		violatedBounds().forEach(violations::add);
		return root.toPrettyString();
	}

}
