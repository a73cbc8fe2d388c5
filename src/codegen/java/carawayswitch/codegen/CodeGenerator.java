package carawayswitch.codegen;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.palantir.javapoet.JavaFile;

/**
 * Generates {@code src/generated} and {@code docs/example.ini} from the schema files in
 * {@code schema}. Run from the root of the repository:
 *
 * <pre>
 * mvn -q test-compile exec:java -Dexec.classpathScope=test -Dexec.mainClass=carawayswitch.codegen.CodeGenerator
 * </pre>
 *
 * Stateless.
 */
public final class CodeGenerator {

	private CodeGenerator() {
	}

	public static void main(String[] args) throws IOException {
		for (Map.Entry<Path, String> file : generate(Path.of("")).entrySet()) {
			Files.createDirectories(file.getKey().getParent());
			Files.writeString(file.getKey(), file.getValue());
		}
	}

	static Map<Path, String> generate(Path root) throws IOException {
		Path output = root.resolve("src/generated/java");
		Map<Path, String> files = new LinkedHashMap<>();
		for (JavaFile file : new MessageGenerator(readYaml(root.resolve("schema/messages.yml"))).files()) {
			addFile(files, output, file);
		}
		SettingsGenerator settings = new SettingsGenerator(readYaml(root.resolve("schema/settings.yml")));
		addFile(files, output, settings.settingsFile());
		addFile(files, output, settings.keysFile());
		files.put(root.resolve("docs/example.ini"), settings.exampleFile());
		return files;
	}

	private static void addFile(Map<Path, String> files, Path output, JavaFile file) {
		Path folder = output.resolve(file.packageName().replace('.', '/'));
		files.put(folder.resolve(file.typeSpec().name() + ".java"), file.toString());
	}

	private static JsonNode readYaml(Path file) throws IOException {
		return new YAMLMapper().readTree(Files.readString(file, StandardCharsets.UTF_8));
	}

}
