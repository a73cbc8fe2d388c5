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
 * Measures the policies side by side and checks the bounds of the current one. Immutable
 * and safe for use by several threads.
 *
 * <pre>
 * MeasureRunner runner = MeasureRunner.run(1, MeasureRunner.workloads());
 * System.out.print(runner.text());
 * </pre>
 */
public final class MeasureRunner {

	private final long seed;

	private final List<Measurement> measurements;

	private MeasureRunner(long seed, List<Measurement> measurements) {
		this.seed = seed;
		this.measurements = measurements;
	}

	/**
	 * Returns the names of all workloads.
	 * @return the names
	 */
	public static List<String> workloads() {
		return Arrays.stream(Workload.values()).map(Workload::label).toList();
	}

	/**
	 * Measures workloads.
	 * @param seed seed of the random numbers
	 * @param names names of the workloads
	 * @return the figures
	 */
	public static MeasureRunner run(long seed, List<String> names) {
		List<Measurement> measurements = names.parallelStream()
			.map((name) -> Workload.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')))
			.flatMap((workload) -> Stream.of(MeasuredPolicy.values())
				.map((policy) -> Measurement.run(workload, policy, seed)))
			.toList();
		return new MeasureRunner(seed, measurements);
	}

	/**
	 * Returns the bounds that are broken.
	 * @return a line for each broken bound
	 */
	public List<String> brokenBounds() {
		List<String> broken = new ArrayList<>();
		for (Bound bound : Bound.values()) {
			for (Measurement measurement : current()) {
				double figure = bound.figure(measurement);
				if (!bound.kept(figure)) {
					broken
						.add(String.format(Locale.ROOT, "%s: %s is %.3f; bound: %s %s", measurement.workload().label(),
								bound.description(), figure, bound.relation(), bound.limit()));
				}
			}
		}
		return broken;
	}

	private List<Measurement> current() {
		return this.measurements.stream()
			.filter((measurement) -> measurement.policy() == MeasuredPolicy.CURRENT)
			.toList();
	}

	/**
	 * Returns the figures as text.
	 * @return a table for each workload, then the bounds
	 */
	public String text() {
		StringBuilder text = new StringBuilder("seed " + this.seed + '\n');
		Workload shown = null;
		for (Measurement measurement : this.measurements) {
			if (measurement.workload() != shown) {
				shown = measurement.workload();
				text.append(String.format(Locale.ROOT, "%n%s%n%-20s %7s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s %6s%n",
						shown.label(), "policy", "goodput", "top", "urg 2", "urg 1", "urg 0", "kept", "wasted", "jain",
						"p50 top", "p95 top", "p99 top", "shed"));
			}
			text.append(line(measurement));
		}
		text.append('\n');
		for (Bound bound : Bound.values()) {
			text.append(boundLine(bound));
		}
		return text.toString();
	}

	private static String line(Measurement measurement) {
		SimulationReport report = measurement.flooded();
		return String.format(Locale.ROOT,
				"%-20s %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %6d ms %6d ms %6d ms %6d%n",
				measurement.policy().label(), report.goodput((request) -> true),
				report.goodput((request) -> request.kind().topTier()), goodput(report, 2), goodput(report, 1),
				goodput(report, 0), measurement.keptByOthers(), report.wastedShare(),
				report.fairness((request) -> !request.flood()), topFirstToken(report, 0.5), topFirstToken(report, 0.95),
				topFirstToken(report, 0.99), report.protectedShed());
	}

	private static double goodput(SimulationReport report, int urgency) {
		return report.goodput((request) -> request.kind().urgency() == urgency);
	}

	private static long topFirstToken(SimulationReport report, double quantile) {
		return report.firstTokenMillis((request) -> request.kind().topTier(), quantile);
	}

	private String boundLine(Bound bound) {
		StringBuilder figures = new StringBuilder();
		boolean kept = true;
		for (Measurement measurement : current()) {
			double figure = bound.figure(measurement);
			if (!Double.isNaN(figure)) {
				figures.append(String.format(Locale.ROOT, " %s %.3f", measurement.workload().label(), figure));
				kept &= bound.kept(figure);
			}
		}
		return String.format(Locale.ROOT, "%-6s %s, %s %s:%s%n", kept ? "kept" : "BROKEN", bound.description(),
				bound.relation(), bound.limit(), figures);
	}

	/**
	 * Returns the figures as JSON.
	 * @return the text
	 */
	public String json() {
		ObjectNode root = Json.object().put("seed", this.seed);
		ArrayNode list = root.putArray("measurements");
		for (Measurement measurement : this.measurements) {
			SimulationReport report = measurement.flooded();
			list.addObject()
				.put("workload", measurement.workload().label())
				.put("policy", measurement.policy().label())
				.put("goodput", report.goodput((request) -> true))
				.put("goodput_top", report.goodput((request) -> request.kind().topTier()))
				.put("kept_by_others", measurement.keptByOthers())
				.put("wasted_prefill", report.wastedShare())
				.put("fairness", report.fairness((request) -> !request.flood()))
				.put("first_token_top_p95_ms", topFirstToken(report, 0.95))
				.put("protected_shed", report.protectedShed());
		}
		ArrayNode broken = root.putArray("broken_bounds");
		brokenBounds().forEach(broken::add);
		return root.toPrettyString();
	}

}
