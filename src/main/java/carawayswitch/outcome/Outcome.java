package carawayswitch.outcome;

import java.util.Locale;

/**
 * Final outcome of a request. Immutable.
 */
public enum Outcome {

	/** The complete answer was delivered. */
	ANSWERED,

	/** Nothing was ever written to an endpoint, and nothing will be. */
	NOT_RUN,

	/** Something was written to an endpoint and no complete answer arrived. */
	UNKNOWN;

	/**
	 * Returns the name of the outcome in messages and headers.
	 * @return the lower-case name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds an outcome by its label.
	 * @param label the lower-case name
	 * @return the outcome; {@link #UNKNOWN} if no outcome has the label
	 */
	public static Outcome ofLabel(String label) {
		for (Outcome outcome : values()) {
			if (outcome.label().equals(label)) {
				return outcome;
			}
		}
		return UNKNOWN;
	}

}
