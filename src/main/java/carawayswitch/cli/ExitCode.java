package carawayswitch.cli;

/**
 * Exit codes of the program. Immutable.
 */
enum ExitCode {

	/** The command did what it was asked to do. */
	OK(0, "the command did what it was asked to do"),

	/** The command was refused or its check failed. */
	FAILED(1, "the command was refused or its check failed"),

	/** The command line or a file has errors. */
	USAGE(2, "the command line or a file has errors"),

	/** A host could not be reached. */
	UNREACHABLE(3, "a host could not be reached");

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
