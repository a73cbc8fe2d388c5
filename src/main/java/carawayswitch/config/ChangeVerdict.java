package carawayswitch.config;

/**
 * Result of applying a configuration change. Immutable.
 *
 * @param kind whether the change was accepted
 * @param revision revision of the entity after the change was handled
 * @param reason why the change was rejected, or empty
 */
public record ChangeVerdict(Kind kind, long revision, String reason) {

	/**
	 * Kinds of verdicts.
	 */
	public enum Kind {

		/** The change was applied. */
		ACCEPTED,

		/** The change was based on a revision that is not the current one. */
		CONFLICT,

		/** The kind, name or body of the change is not valid. */
		INVALID

	}

}
