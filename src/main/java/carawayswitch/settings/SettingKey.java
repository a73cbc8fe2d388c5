package carawayswitch.settings;

/**
 * Key of the settings file with its type, default and valid range. Immutable.
 *
 * @param section name of the section
 * @param name name of the key
 * @param type type of the value
 * @param defaultValue value that applies if the key is absent, or empty if the key must
 * be set
 * @param min smallest valid value in the unit of the type
 * @param max largest valid value in the unit of the type
 * @param doc description of the key
 */
record SettingKey(String section, String name, SettingType type, String defaultValue, long min, long max, String doc) {

	String path() {
		return this.section + "." + this.name;
	}

	boolean isRequired() {
		return this.defaultValue.isEmpty();
	}

	String validValues() {
		if (!this.type.isNumeric()) {
			return this.type.description();
		}
		return this.type.description() + " from " + this.min + " to " + this.max + this.type.unit();
	}

}
