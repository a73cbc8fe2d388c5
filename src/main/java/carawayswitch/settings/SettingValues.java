package carawayswitch.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * Parsed values of a settings file by path. Every key of the schema is present.
 * Immutable.
 *
 * @param byPath value by {@code section.key}
 */
record SettingValues(Map<String, Object> byPath) {

	String stringValue(String section, String key) {
		return (String) value(section, key);
	}

	int intValue(String section, String key) {
		return (Integer) value(section, key);
	}

	int bytesValue(String section, String key) {
		return (Integer) value(section, key);
	}

	double doubleValue(String section, String key) {
		return (Double) value(section, key);
	}

	boolean booleanValue(String section, String key) {
		return (Boolean) value(section, key);
	}

	Duration durationValue(String section, String key) {
		return (Duration) value(section, key);
	}

	InetSocketAddress addressValue(String section, String key) {
		return (InetSocketAddress) value(section, key);
	}

	URI urlValue(String section, String key) {
		return (URI) value(section, key);
	}

	private Object value(String section, String key) {
		return this.byPath.get(section + "." + key);
	}

}
