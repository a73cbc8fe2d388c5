package carawayswitch.entry;

import carawayswitch.outcome.ErrorKind;

/**
 * Thrown when a request is rejected before any work is done for it. The message holds
 * details for the caller. Immutable.
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
