package carawayswitch.codegen;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the committed generated files match the schema. Guards against a schema
 * change without a run of the generator and against edits of generated files.
 */
class CodeGeneratorTests {

	@Test
	void committedFilesMatchGeneratorOutput() throws IOException {
		for (Map.Entry<Path, String> file : CodeGenerator.generate(Path.of("")).entrySet()) {
			String committed = Files.readString(file.getKey());
			assertThat(withoutWhitespace(committed)).as(file.getKey().toString())
				.isEqualTo(withoutWhitespace(file.getValue()));
		}
	}

	private static String withoutWhitespace(String text) {
		return text.replaceAll("[\\s*]+", "");
	}

}
