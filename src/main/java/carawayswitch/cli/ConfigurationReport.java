package carawayswitch.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.check.ConfigurationCheck;
import carawayswitch.check.Difference;
import carawayswitch.check.Finding;
import carawayswitch.http.Json;
import carawayswitch.platform.ConfigurationDecoder;
import carawayswitch.platform.DecodedConfiguration;
import carawayswitch.route.ConfigurationEntries;

/**
 * Report of {@code check-config} about a configuration. Immutable. Warnings are about the
 * checked file only.
 *
 * @param file name of the checked file
 * @param errors the errors, with the name of the file
 * @param warnings the warnings
 * @param differences the differences from the version in force
 */
record ConfigurationReport(String file, List<FileError> errors, List<Finding> warnings, List<Difference> differences) {

	/**
	 * Checks a configuration.
	 * @param checked the configuration
	 * @param inForce the version in force, or null if it is not given
	 * @return the report
	 */
	static ConfigurationReport of(Source checked, Source inForce) {
		List<FileError> errors = new ArrayList<>();
		DecodedConfiguration decoded = checked.decode();
		decoded.errors().forEach((error) -> errors.add(new FileError(checked.file(), error)));
		List<Finding> warnings = new ArrayList<>(decoded.warnings());
		decoded.entries().map(ConfigurationCheck::warnings).ifPresent(warnings::addAll);
		List<Difference> changedEntries = List.of();
		if (inForce != null) {
			DecodedConfiguration current = inForce.decode();
			Optional<ConfigurationEntries> entries = current.entries();
			// Values of a wrong type in the version in force are no fault of the new one.
			if (entries.isEmpty()) {
				current.errors().forEach((error) -> errors.add(new FileError(inForce.file(), error)));
			}
			else if (decoded.entries().isPresent()) {
				ConfigurationCheck.errors(decoded.entries().get(), entries.get())
					.forEach((error) -> errors.add(new FileError(checked.file(), error)));
				changedEntries = ConfigurationCheck.differences(decoded.entries().get(), entries.get());
			}
		}
		return new ConfigurationReport(checked.file(), errors, warnings, changedEntries);
	}

	ExitCode exitCode() {
		return this.errors.isEmpty() ? ExitCode.OK : ExitCode.USAGE;
	}

	String toText() {
		StringBuilder text = new StringBuilder();
		for (FileError error : this.errors) {
			text.append(error.file()).append(": error: ").append(error.finding()).append('\n');
		}
		for (Finding warning : this.warnings) {
			text.append(this.file).append(": warning: ").append(warning).append('\n');
		}
		for (Difference difference : this.differences) {
			text.append(difference.kind().entry(difference.name())).append(' ');
			text.append(difference.change().label()).append('\n');
			for (Difference.FieldChange field : difference.fields()) {
				text.append("    ").append(field.field()).append(": ").append(values(field)).append('\n');
			}
		}
		return text.append(this.file)
			.append(": errors: " + this.errors.size() + ", warnings: " + this.warnings.size() + ", differences: "
					+ this.differences.size() + "\n")
			.toString();
	}

	private static String values(Difference.FieldChange field) {
		if (field.before() == null || field.after() == null) {
			return (field.before() != null) ? field.before() : field.after();
		}
		return field.before() + " -> " + field.after();
	}

	String toJson() {
		ObjectNode tree = Json.object();
		ArrayNode errorList = tree.putArray("errors");
		this.errors.forEach((error) -> put(errorList.addObject().put("file", error.file()), error.finding()));
		ArrayNode warningList = tree.putArray("warnings");
		this.warnings.forEach((warning) -> put(warningList.addObject(), warning));
		ArrayNode differenceList = tree.putArray("differences");
		for (Difference difference : this.differences) {
			ObjectNode entry = differenceList.addObject();
			entry.put("kind", difference.kind().label()).put("name", difference.name());
			ArrayNode fields = entry.put("change", difference.change().label()).putArray("fields");
			difference.fields()
				.forEach((field) -> fields.addObject()
					.put("field", field.field())
					.put("before", field.before())
					.put("after", field.after()));
		}
		return tree.toString();
	}

	private static void put(ObjectNode entry, Finding finding) {
		entry.put("at", finding.at()).put("message", finding.message());
	}

	/**
	 * An error with the file that it is in. Immutable.
	 *
	 * @param file name of the file
	 * @param finding the error
	 */
	record FileError(String file, Finding finding) {

	}

	/**
	 * Content of a file. The array is not modified.
	 *
	 * @param file name of the file
	 * @param bytes content, or null if the file cannot be read
	 */
	record Source(String file, byte[] bytes) {

		DecodedConfiguration decode() {
			if (this.bytes == null) {
				return new DecodedConfiguration(Optional.empty(), List.of(new Finding("the file", "cannot be read")),
						List.of());
			}
			return ConfigurationDecoder.decodeWithFindings(this.bytes);
		}

	}

}
