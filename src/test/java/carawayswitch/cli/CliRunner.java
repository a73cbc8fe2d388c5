package carawayswitch.cli;

import java.io.PrintStream;

/**
 * Runs the command line inside the test process.
 */
public final class CliRunner {

	private CliRunner() {
	}

	public static int run(PrintStream out, String... args) {
		return Main.run(args, out, out).code();
	}

}
