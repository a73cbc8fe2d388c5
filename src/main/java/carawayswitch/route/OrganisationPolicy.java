package carawayswitch.route;

/**
 * What the configuration says of an organisation. Immutable.
 *
 * @param name name of the organisation
 * @param priority rank that goes before the route's, or null
 * @param cap cap on what it may use, or null
 */
public record OrganisationPolicy(String name, Integer priority, Cap cap) {

	/**
	 * Cap on use over all hosts. Immutable.
	 *
	 * @param unitsPerSecond units that may be used per second
	 * @param burstUnits units that may be used at once beyond that
	 * @param countsTokens true if a unit is a token, false if it is a request
	 * @param defaultRequestTokens tokens that a request without stated tokens counts as
	 */
	public record Cap(double unitsPerSecond, double burstUnits, boolean countsTokens, int defaultRequestTokens) {

	}

}
