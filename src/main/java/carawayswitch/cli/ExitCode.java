package carawayswitch.cli;

/**
 * Exit codes of the program, listed in each help page. Immutable.
 */
enum ExitCode {

	/** The command succeeded. */
	OK(0, "the command succeeded"),

	/** The command was rejected, failed, or its check did not pass. */
	FAILED(1, "the command was rejected, failed, or its check did not pass"),

	/** The command line, the settings file or the checked configuration is invalid. */
	USAGE(2, "the command line, the settings file or the checked configuration is invalid"),

	/** A host could not be reached. */
	UNREACHABLE(3, "a host could not be reached"),

	/** The event loop of a host has ended by a failure. */
	HOST_FAILED(4, "the event loop of the host has ended by a failure");

	private final int code;

	private final String description;

	ExitCode(int code, String description) {
		this.code = code;
		this.description = description;
	}

	int code() {
		return this.code;
	}

	String description() {
		return this.description;
	}

}
