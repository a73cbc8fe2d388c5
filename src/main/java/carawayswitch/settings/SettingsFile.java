package carawayswitch.settings;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads and validates a settings file. All errors are reported in one pass. Stateless.
 *
 * <pre>
 * Either&lt;List&lt;SettingsError&gt;, Settings&gt; settings = SettingsFile.read(Path.of("host.ini"));
 * </pre>
 */
public final class SettingsFile {

	private SettingsFile() {
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the validated settings, or all errors of the file; a file that cannot be
	 * read is one error
	 */
	public static Either<List<SettingsError>, Settings> read(Path file) {
		try {
			return parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			return Either.left(List.of(new SettingsError(file.toString(), "", "", "", "a readable file")));
		}
	}

	/**
	 * Parses the text of a settings file.
	 * @param fileName name of the file to show in errors
	 * @param text the text
	 * @return the validated settings, or all errors of the text
	 */
	public static Either<List<SettingsError>, Settings> parse(String fileName, String text) {
		INIConfiguration ini = new INIConfiguration();
		try (Reader reader = new StringReader(text)) {
			ini.read(reader);
		}
		catch (ConfigurationException | IOException ex) {
			return Either.left(List.of(new SettingsError(fileName, "", "", "", "an INI file: " + ex.getMessage())));
		}
		List<SettingsError> errors = new ArrayList<>();
		reportUnknownKeys(fileName, ini, errors);
		Map<String, Object> values = new HashMap<>();
		for (SettingKey key : SettingKeys.ALL) {
			readKey(fileName, ini, key, values, errors);
		}
		return errors.isEmpty() ? Either.right(Settings.of(new SettingValues(values))) : Either.left(errors);
	}

	private static void reportUnknownKeys(String fileName, INIConfiguration ini, List<SettingsError> errors) {
		for (Iterator<String> paths = ini.getKeys(); paths.hasNext();) {
			String path = paths.next().replace("..", ".");
			String section = path.contains(".") ? path.substring(0, path.indexOf('.')) : "";
			String name = path.substring(path.indexOf('.') + 1);
			List<String> sectionKeys = SettingKeys.ALL.stream()
				.filter((key) -> key.section().equals(section))
				.map(SettingKey::name)
				.toList();
			if (sectionKeys.isEmpty()) {
				List<String> sections = SettingKeys.ALL.stream().map(SettingKey::section).distinct().toList();
				errors.add(new SettingsError(fileName, section, name, "", "one of the sections " + sections));
			}
			else if (!sectionKeys.contains(name)) {
				errors.add(new SettingsError(fileName, section, name, "", "one of the keys " + sectionKeys));
			}
		}
	}

	private static void readKey(String fileName, INIConfiguration ini, SettingKey key, Map<String, Object> values,
			List<SettingsError> errors) {
		String text = ini.getSection(key.section()).getString(key.name(), key.defaultValue()).strip();
		Object value = key.type().parse(text).getOrNull();
		boolean valid = value != null && (!key.type().isNumeric() || inRange(key, value));
		if (valid) {
			values.put(key.path(), value);
			return;
		}
		String shownValue = (key.type() == SettingType.SECRET && !text.isEmpty()) ? "(hidden)" : text;
		errors.add(new SettingsError(fileName, key.section(), key.name(), shownValue, key.validValues()));
	}

	private static boolean inRange(SettingKey key, Object value) {
		double magnitude = SettingType.magnitude(value);
		return magnitude >= key.min() && magnitude <= key.max();
	}

}
