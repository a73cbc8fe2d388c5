package carawayswitch.config;

/**
 * Result of folding a change. Immutable.
 *
 * @param kind verdict
 * @param revision revision of the entity after the change
 * @param reason why the change was refused, or empty
 */
public record ChangeVerdict(Kind kind, long revision, String reason) {

	/**
	 * Kinds of verdicts.
	 */
	public enum Kind {

		/** The change is in force. */
		ACCEPTED,

		/** The change was based on another revision. */
		CONFLICT,

		/** The change is not valid. */
		INVALID

	}

}
