package carawayswitch.config;

/**
 * An urgency under a name of a fleet's own. Immutable.
 *
 * @param urgency urgency on the scale that all fleets share, from 0 (least urgent) to
 * {@value #HIGHEST_URGENCY}
 */
public record Tier(int urgency) implements Entity {

	/** The highest urgency. */
	public static final int HIGHEST_URGENCY = 4;

	/** The number of levels of urgency. */
	public static final int URGENCY_COUNT = HIGHEST_URGENCY + 1;

	@Override
	public String validationError() {
		boolean valid = this.urgency >= 0 && this.urgency <= HIGHEST_URGENCY;
		return valid ? "" : "urgency is " + this.urgency + "; valid: 0 to " + HIGHEST_URGENCY;
	}

}
