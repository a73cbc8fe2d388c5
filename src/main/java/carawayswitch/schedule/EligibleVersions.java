package carawayswitch.schedule;

import java.util.Set;

/**
 * Software versions of the engines that may run a request. Versions have no order.
 * Immutable.
 *
 * @param any true if every version is eligible
 * @param names the eligible versions otherwise; may be empty
 */
public record EligibleVersions(boolean any, Set<String> names) {

	/** Every version. */
	public static final EligibleVersions ANY = new EligibleVersions(true, Set.of());

	/**
	 * Returns a set of versions.
	 * @param names the eligible versions
	 * @return the set
	 */
	public static EligibleVersions of(Set<String> names) {
		return new EligibleVersions(false, Set.copyOf(names));
	}

	/**
	 * Returns whether a version is eligible.
	 * @param version the version
	 * @return true if engines of it may run the request
	 */
	public boolean contains(String version) {
		return this.any || this.names.contains(version);
	}

}
