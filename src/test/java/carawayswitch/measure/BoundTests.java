package carawayswitch.measure;

import java.util.List;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import carawayswitch.KnownRed;

/**
 * Tests that the current policy satisfies its bounds under all simulated workloads.
 * Guards against scheduling changes that cost goodput, latency of the top tier, fairness
 * or prefill. A violated bound that is listed in KNOWN-RED.txt is printed and its case is
 * aborted.
 */
class BoundTests {

	private static final long SEED = 1;

	private static List<String> violations;

	@BeforeAll
	static void measureAllWorkloads() {
		violations = PolicyComparison.run(SEED, PolicyComparison.workloadNames()).violatedBounds();
	}

	@ParameterizedTest
	@EnumSource(Bound.class)
	void boundHoldsInEveryWorkload(Bound bound) {
		List<String> boundViolations = violations.stream()
			.filter((line) -> line.contains(": " + bound.description() + " is"))
			.toList();
		KnownRed.assertNoViolations("BoundTests " + bound.name(), boundViolations);
	}

}
