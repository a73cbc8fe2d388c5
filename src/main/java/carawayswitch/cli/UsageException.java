package carawayswitch.cli;

/**
 * The command line has an error. Immutable.
 */
final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	UsageException(String message) {
		super(message);
	}

}
