package carawayswitch.entry;

import carawayswitch.outcome.ErrorKind;

/**
 * A request that is refused before anything is done for it. Immutable.
 */
final class RequestException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ErrorKind kind;

	RequestException(ErrorKind kind, String detail) {
		super(detail);
		this.kind = kind;
	}

	ErrorKind kind() {
		return this.kind;
	}

}
