package carawayswitch.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.settings.Settings;
import carawayswitch.settings.SettingsError;
import carawayswitch.settings.SettingsFile;

/**
 * Validates a settings file. Stateless.
 */
final class CheckCommand implements Command {

	@Override
	public String name() {
		return "check";
	}

	@Override
	public String synopsis() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Validates a settings file and prints all of its errors.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch check host.ini");
	}

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws UsageException {
		if (line.getArgList().size() != 1) {
			throw new UsageException("FILE is " + line.getArgList() + "; valid: the path of one settings file");
		}
		Either<List<SettingsError>, Settings> settings = SettingsFile.read(Path.of(line.getArgList().get(0)));
		if (settings.isLeft()) {
			settings.getLeft().forEach(out::println);
			return ExitCode.USAGE;
		}
		out.println(line.getArgList().get(0) + ": no errors");
		return ExitCode.OK;
	}

}
