package carawayswitch.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a timeline that lacks events of the request, shows other requests, or
 * hides the state changes that preceded an event. The log mixes lines of two requests, of
 * an attempt, and of the host itself.
 */
class ExplainCommandTests {

	private static final String LOG = """
			  0.1 host-1 time=x level=INFO event=routes.changed at_ms=900 version=6 routes=17
			  0.2 host-1 time=x level=INFO event=routes.changed at_ms=950 version=7 routes=17
			  0.2 host-1 time=x level=INFO event=attempt.sent at_ms=1000 request=other endpoint=e9
			  0.3 host-1 time=x level=INFO event=place.decided at_ms=1000 request=abc#0 endpoint=e1 reason="a \\"b\\" c"
			  0.4 host-1 time=x level=INFO event=attempt.sent at_ms=1001 request=abc endpoint=e1
			a line without an event
			  0.5 host-1 time=x level=WARN event=store.lost at_ms=1100 records=endpoints reason=busy
			  0.6 host-1 time=x level=INFO event=gateway.answered at_ms=1250 request=abc outcome=no_place
			""";

	@TempDir
	private Path directory;

	private Path file;

	@BeforeEach
	void writeLog() throws Exception {
		this.file = Files.writeString(this.directory.resolve("host.log"), LOG);
	}

	private String run(int exitCode, String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
		assertThat(Main.run(args, stream, stream).code()).isEqualTo(exitCode);
		return out.toString(StandardCharsets.UTF_8);
	}

	@Test
	void timelineHasTheEventsOfTheRequestAndPrecedingStateChanges() {
		String timeline = run(0, "explain", "--log", this.file.toString(), "abc");
		assertThat(timeline.lines().skip(1).map((line) -> line.split("\\s+")[1])).containsExactly("routes.changed",
				"place.decided", "attempt.sent", "store.lost", "gateway.answered");
		assertThat(timeline).contains("version=7").contains("reason=a \"b\" c").contains("-249").doesNotContain("e9");
	}

	@Test
	void unknownRequestIsReported() {
		assertThat(run(ExitCode.FAILED.code(), "explain", "--log", this.file.toString(), "ab"))
			.contains("the log has no line for request ab");
	}

	@Test
	void missingIdIsAUsageError() {
		assertThat(run(ExitCode.USAGE.code(), "explain")).contains("ID is []; valid: the id of one request");
	}

}
