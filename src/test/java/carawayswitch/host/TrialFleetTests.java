package carawayswitch.host;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import carawayswitch.cli.CliRunner;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the whole path on real sockets.
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
