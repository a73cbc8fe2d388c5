package carawayswitch.cli;

import java.util.List;

import org.apache.commons.cli.Option;

/**
 * Formats help texts in the layout of manual pages. Stateless.
 */
final class Help {

	private static final String INDENT = "    ";

	private static final int NAME_COLUMN_WIDTH = 14;

	private Help() {
	}

	static String overview(List<Command> commands) {
		StringBuilder text = new StringBuilder();
		text.append("SYNOPSIS\n").append(INDENT).append("carawayswitch COMMAND [OPTION...]\n\n");
		text.append("DESCRIPTION\n").append(INDENT);
		text.append("Schedules requests to model engines and plain services.\n\n");
		text.append("COMMANDS\n");
		for (Command command : commands) {
			text.append(INDENT).append(padded(command.name())).append(command.summary()).append('\n');
		}
		text.append('\n').append(INDENT).append("carawayswitch COMMAND --help prints the help of a command.\n");
		return text.append('\n').append(exitStatus()).toString();
	}

	static String page(Command command) {
		StringBuilder text = new StringBuilder();
		text.append("SYNOPSIS\n").append(INDENT).append("carawayswitch ").append(command.name());
		text.append(' ').append(command.synopsis()).append("\n\n");
		text.append("DESCRIPTION\n").append(INDENT).append(command.summary()).append("\n\n");
		text.append("OPTIONS\n");
		for (Option option : command.options().getOptions()) {
			text.append(INDENT).append("--").append(option.getLongOpt());
			text.append(option.hasArg() ? " " + option.getArgName() : "").append('\n');
			text.append(INDENT).append(INDENT).append(option.getDescription()).append('\n');
		}
		text.append(INDENT).append("--help\n").append(INDENT).append(INDENT).append("Prints this help.\n\n");
		text.append("EXAMPLES\n");
		for (String example : command.examples()) {
			text.append(INDENT).append(example).append('\n');
		}
		return text.append('\n').append(exitStatus()).toString();
	}

	private static String exitStatus() {
		StringBuilder text = new StringBuilder("EXIT STATUS\n");
		for (ExitCode code : ExitCode.values()) {
			text.append(INDENT).append(code.code()).append("  ").append(code.description()).append('\n');
		}
		return text.toString();
	}

	private static String padded(String name) {
		return name + " ".repeat(Math.max(1, NAME_COLUMN_WIDTH - name.length()));
	}

}
