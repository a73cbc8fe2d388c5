package carawayswitch.route;

/**
 * Configured priority and usage cap of an organisation. Immutable.
 *
 * @param name name of the organisation
 * @param priority priority that overrides the route's, or null
 * @param cap limit on its usage, or null for none
 */
public record OrganisationPolicy(String name, Integer priority, Cap cap) {

	/**
	 * Limit on usage, summed over all hosts. Immutable.
	 *
	 * @param unitsPerSecond sustained rate in units per second
	 * @param burstUnits units that may be used at once beyond the sustained rate
	 * @param countsTokens true if a unit is a token, false if it is a request
	 * @param defaultRequestTokens tokens charged for a request that states no token
	 * counts
	 */
	public record Cap(double unitsPerSecond, double burstUnits, boolean countsTokens, int defaultRequestTokens) {

	}

}
