package carawayswitch.cli;

import java.io.PrintStream;

/**
 * Runs a command inside the test process and returns its exit code.
 */
public final class CliRunner {

	private CliRunner() {
	}

	public static int run(PrintStream out, String... args) {
		return Main.run(args, out, out).code();
	}

}
