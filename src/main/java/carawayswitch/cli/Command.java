package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand of the program, such as {@code serve}. Implementations are stateless.
 */
interface Command {

	/**
	 * Returns the name by which the command is invoked.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the arguments and options that follow the name in a usage line.
	 * @return the synopsis without the program and the command name
	 */
	String synopsis();

	/**
	 * Returns the description for the overview and the help page of the command.
	 * @return one to three sentences
	 */
	String summary();

	/**
	 * Returns example invocations for the help page.
	 * @return complete command lines, at least one
	 */
	List<String> examples();

	/**
	 * Returns the options. Each description states the default, or that the option is
	 * required.
	 * @return the options without {@code --help}
	 */
	Options options();

	/**
	 * Runs the command.
	 * @param line the parsed command line
	 * @param out stream for the output of the command
	 * @return the exit code
	 * @throws Exception if the command fails; {@link Main} maps it to an exit code
	 */
	ExitCode run(CommandLine line, PrintStream out) throws Exception;

}
