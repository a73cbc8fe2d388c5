package carawayswitch.cli;

/**
 * Thrown when the command line is invalid; the message is printed with the usage line.
 * Immutable.
 */
final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	UsageException(String message) {
		super(message);
	}

}
