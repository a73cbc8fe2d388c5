package carawayswitch.check;

import java.util.ArrayList;
import java.util.List;

import carawayswitch.route.ConfigurationEntries;

/**
 * Decides what is reported about a decoded configuration. Stateless.
 */
public final class ConfigurationCheck {

	private ConfigurationCheck() {
	}

	/**
	 * Returns the errors of a new version.
	 * @param entries the new version
	 * @param inForce the version in force
	 * @return an error if the version number is not higher, since hosts keep the version
	 * that they know
	 */
	public static List<Finding> errors(ConfigurationEntries entries, ConfigurationEntries inForce) {
		if (entries.version() > inForce.version()) {
			return List.of();
		}
		return List.of(new Finding("version",
				"is " + entries.version() + "; valid: higher than " + inForce.version() + ", the version in force"));
	}

	/**
	 * Returns the warnings about a configuration.
	 * @param entries the configuration
	 * @return entries without effect, then limits that contradict each other
	 */
	public static List<Finding> warnings(ConfigurationEntries entries) {
		List<Finding> warnings = new ArrayList<>(UnmatchedEntries.check(entries));
		warnings.addAll(LimitContradictions.check(entries));
		return warnings;
	}

	/**
	 * Returns the differences of a new version.
	 * @param entries the new version
	 * @param inForce the version in force
	 * @return the entries that differ
	 */
	public static List<Difference> differences(ConfigurationEntries entries, ConfigurationEntries inForce) {
		return ConfigurationDifferences.between(inForce, entries);
	}

}
