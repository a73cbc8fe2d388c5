package carawayswitch.guard;

import carawayswitch.outcome.ErrorKind;

/**
 * Answers to a request for a grant. Immutable.
 */
public enum GrantVerdict {

	/** The asking request may dispatch. */
	GRANTED(null),

	/** Another request holds the grant. */
	HELD(null),

	/** The key belongs to a different request. */
	CONFLICT(ErrorKind.KEY_CONFLICT),

	/** The key is older than the dedupe window. */
	EXPIRED(ErrorKind.KEY_EXPIRED),

	/** The key was minted in the future. */
	FUTURE(ErrorKind.BAD_IDEMPOTENCY_KEY),

	/** An earlier owner may have granted the key. */
	UNKNOWN(ErrorKind.KEY_OUTCOME_UNKNOWN),

	/** The asked host has no authority over the key. */
	NOT_OWNER(ErrorKind.KEY_OWNER_UNREACHABLE),

	/** The asked host will have authority over the key soon. */
	NOT_READY(ErrorKind.KEY_OWNER_UNREACHABLE);

	private final ErrorKind error;

	GrantVerdict(ErrorKind error) {
		this.error = error;
	}

	/**
	 * Returns the error that the verdict means for the caller.
	 * @return the kind, or null if the verdict is not an error
	 */
	public ErrorKind error() {
		return this.error;
	}

	/**
	 * Returns whether asking again or asking another host may give another verdict.
	 * @return true if the verdict is not final
	 */
	public boolean retryable() {
		return this == NOT_OWNER || this == NOT_READY;
	}

}
