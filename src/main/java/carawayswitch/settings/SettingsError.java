package carawayswitch.settings;

/**
 * One error of a settings file. Immutable.
 *
 * @param file name of the file
 * @param section name of the section
 * @param key name of the key
 * @param value the value that was found, or empty
 * @param validValues what would be valid, with the unit
 */
public record SettingsError(String file, String section, String key, String value, String validValues) {

	@Override
	public String toString() {
		String found = this.value.isEmpty() ? "is not set or not known" : "is \"" + this.value + "\"";
		return this.file + ": [" + this.section + "] " + this.key + " " + found + "; valid: " + this.validValues;
	}

}
