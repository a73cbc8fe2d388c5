package carawayswitch.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an invalid settings file is rejected with errors that name the file,
 * section, key and valid values, and that secrets are not shown in errors.
 */
class SettingsFileTests {

	private static String exampleFile() throws Exception {
		return Files.readString(Path.of("docs/example.ini"));
	}

	@Test
	void exampleFileHasNoErrors() throws Exception {
		assertThat(SettingsFile.parse("example.ini", exampleFile()).get().host().id()).isEqualTo("host-a1");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "id = host-a1|id =|[host] id", "listen = 127.0.0.1:8080|listen = here|[http] listen",
					"#lease = 3s|lease = 3|[guard] lease", "#lease = 3s|lease = 1ms|[guard] lease",
					"#threads = 2|threads = 0|[host] threads", "#threads = 2|thread = 2|[host] thread",
					"[retry]|[retries]|[retries]", "secret = change-me-change-me|secret = short|[internal] secret" })
	void errorNamesFileSectionKeyAndValidValues(String validLine, String invalidLine, String expectedLocation)
			throws Exception {
		List<SettingsError> errors = SettingsFile
			.parse("h.ini", exampleFile().replace(validLine, invalidLine).replace("#max_attempts", "max_attempts"))
			.getLeft();
		assertThat(errors.toString()).contains("h.ini: " + expectedLocation, "valid: ").doesNotContain("short\"");
	}

	@Test
	void allErrorsAreReportedAtOnce() {
		assertThat(SettingsFile.parse("h.ini", "[host]\nid = a\n").getLeft().size()).isGreaterThan(5);
	}

}
