package carawayswitch.host;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import carawayswitch.cli.CliRunner;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the sample requests of the try command end to end on real sockets. Guards against
 * incomplete or wrong answers on the path from the caller to the endpoint and back.
 */
class TrialFleetTests {

	@Test
	void everySampleGetsACompleteAndCorrectAnswer() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		int code = CliRunner.run(new PrintStream(output), "try", "--once");
		assertThat(output.toString()).doesNotContain("WRONG").contains("pickup booking", "compliance draft");
		assertThat(code).isZero();
	}

}
