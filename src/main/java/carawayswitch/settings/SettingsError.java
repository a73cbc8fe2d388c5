package carawayswitch.settings;

/**
 * Error found in a settings file. Immutable.
 *
 * @param file name of the file
 * @param section name of the section
 * @param key name of the key
 * @param value the invalid value, or empty if the key is missing or unknown
 * @param validValues description of the valid values, with the unit
 */
public record SettingsError(String file, String section, String key, String value, String validValues) {

	@Override
	public String toString() {
		String found = this.value.isEmpty() ? "is not set or is unknown" : "is \"" + this.value + "\"";
		return this.file + ": [" + this.section + "] " + this.key + " " + found + "; valid: " + this.validValues;
	}

}
