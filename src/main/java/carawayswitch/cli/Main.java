package carawayswitch.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/**
 * Entry point of the program: selects the command, parses its options and maps failures
 * to exit codes. Stateless.
 */
public final class Main {

	static final List<Command> COMMANDS = List.of(new ServeCommand(), new GatewayCommand(), new CheckCommand(),
			new CheckConfigCommand(), new TryCommand(), new StandInCommand(), new MeasureCommand(), new SlopesCommand(),
			new EntityCommand("tier"), new EntityCommand("profile"), new EntityCommand("organisation"),
			new EntityCommand("service"), new EntityCommand("endpoint"), new StatusCommand(), new AuditCommand(),
			new ExplainCommand());

	private Main() {
	}

	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err).code());
	}

	static ExitCode run(String[] args, PrintStream out, PrintStream err) {
		if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
			out.print(Help.overview(COMMANDS));
			return (args.length == 0) ? ExitCode.USAGE : ExitCode.OK;
		}
		Command command = COMMANDS.stream()
			.filter((candidate) -> candidate.name().equals(args[0]))
			.findFirst()
			.orElse(null);
		if (command == null) {
			List<String> names = COMMANDS.stream().map(Command::name).toList();
			err.println("carawayswitch: unknown command \"" + args[0] + "\"; valid: " + names);
			return ExitCode.USAGE;
		}
		String[] commandArgs = Arrays.copyOfRange(args, 1, args.length);
		if (Arrays.asList(commandArgs).contains("--help")) {
			out.print(Help.page(command));
			return ExitCode.OK;
		}
		return run(command, commandArgs, out, err);
	}

	private static ExitCode run(Command command, String[] commandArgs, PrintStream out, PrintStream err) {
		try {
			CommandLine line = new DefaultParser().parse(command.options(), commandArgs);
			return command.run(line, out);
		}
		catch (ParseException | UsageException ex) {
			err.println("carawayswitch " + command.name() + ": " + ex.getMessage());
			err.println("usage: carawayswitch " + command.name() + " " + command.synopsis());
			return ExitCode.USAGE;
		}
		catch (java.io.IOException ex) {
			err.println("carawayswitch " + command.name() + ": " + ex.getMessage());
			return ExitCode.UNREACHABLE;
		}
		catch (Exception ex) {
			err.println("carawayswitch " + command.name() + ": " + ex);
			return ExitCode.FAILED;
		}
	}

}
