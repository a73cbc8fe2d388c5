package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A command of the program. Implementations are stateless.
 */
interface Command {

	/**
	 * Returns the name on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the arguments after the name.
	 * @return the arguments
	 */
	String synopsis();

	/**
	 * Returns one sentence about the command.
	 * @return the sentence
	 */
	String summary();

	/**
	 * Returns command lines with what they do.
	 * @return the command lines
	 */
	List<String> examples();

	/**
	 * Returns the options. Each states its default.
	 * @return the options
	 */
	Options options();

	/**
	 * Runs the command.
	 * @param line the parsed command line
	 * @param out receives the output
	 * @return the exit code
	 * @throws Exception if the command fails
	 */
	ExitCode run(CommandLine line, PrintStream out) throws Exception;

}
