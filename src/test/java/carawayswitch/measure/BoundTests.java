package carawayswitch.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the bounds of the scheduler under all workloads. Cases in KNOWN-RED.txt are run,
 * printed and passed over.
 */
class BoundTests {

	private static final long SEED = 1;

	private static List<String> broken;

	@BeforeAll
	static void measure() {
		broken = PolicyComparison.run(SEED, PolicyComparison.workloadNames()).violatedBounds();
	}

	@ParameterizedTest
	@EnumSource(Bound.class)
	void boundIsKeptInEveryWorkload(Bound bound) throws IOException {
		List<String> figures = broken.stream()
			.filter((line) -> line.contains(": " + bound.description() + " is"))
			.toList();
		boolean known = Files.readString(Path.of("KNOWN-RED.txt")).contains("BoundTests " + bound.name());
		if (known && !figures.isEmpty()) {
			System.out.println("known red: " + bound.name() + " " + figures);
			Assumptions.abort("listed in KNOWN-RED.txt");
		}
		assertThat(figures).isEmpty();
	}

}
