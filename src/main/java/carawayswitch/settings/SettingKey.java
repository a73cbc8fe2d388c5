package carawayswitch.settings;

/**
 * One key of the settings file. Immutable.
 *
 * @param section name of the section
 * @param name name of the key
 * @param type type of the value
 * @param defaultValue value when the key is absent, or empty if it must be set
 * @param min least value in the unit of the type
 * @param max greatest value in the unit of the type
 * @param doc what the key means
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
