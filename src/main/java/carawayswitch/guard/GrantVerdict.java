package carawayswitch.guard;

import carawayswitch.outcome.ErrorKind;

/**
 * Verdicts on a request for a grant. Immutable.
 */
public enum GrantVerdict {

	/** The request may be dispatched. */
	GRANTED(null),

	/** Another request holds the grant. */
	HELD(null),

	/** The key was used for a request with a different method, path or body. */
	CONFLICT(ErrorKind.KEY_CONFLICT),

	/** The key is older than the dedupe window. */
	EXPIRED(ErrorKind.KEY_EXPIRED),

	/** The creation time of the key is in the future. */
	FUTURE(ErrorKind.BAD_IDEMPOTENCY_KEY),

	/** An earlier owner may have granted the key; its grants are not known completely. */
	UNKNOWN(ErrorKind.KEY_OUTCOME_UNKNOWN),

	/** This host has no authority over the key. */
	NOT_OWNER(ErrorKind.KEY_OWNER_UNREACHABLE),

	/**
	 * This host has or is acquiring authority over the key but cannot grant at present.
	 */
	NOT_READY(ErrorKind.KEY_OWNER_UNREACHABLE);

	private final ErrorKind error;

	GrantVerdict(ErrorKind error) {
		this.error = error;
	}

	/**
	 * Returns the error to report to the caller.
	 * @return the kind, or null if the verdict is not an error
	 */
	public ErrorKind error() {
		return this.error;
	}

	/**
	 * Returns whether a retry, at this host or another one, may give another verdict.
	 * @return true if the verdict is not final
	 */
	public boolean retryable() {
		return this == NOT_OWNER || this == NOT_READY;
	}

}
