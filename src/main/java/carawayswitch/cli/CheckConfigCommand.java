package carawayswitch.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Checks a configuration of the gateway before it is sent to the store. Makes no network
 * call. Stateless.
 */
final class CheckConfigCommand implements Command {

	private static final String AGAINST = "against";

	private static final String JSON = "json";

	@Override
	public String name() {
		return "check-config";
	}

	@Override
	public String synopsis() {
		return "FILE [--against FILE] [--json]";
	}

	@Override
	public String summary() {
		return "Checks a configuration of the gateway and compares it with the version in force.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch check-config new.json --against current.json",
				"carawayswitch check-config new.json --json");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.valueOption(AGAINST, "FILE",
					"File with the version in force. Default: no differences are reported."))
			.addOption(CommonOptions.flagOption(JSON, "Prints JSON instead of lines. Default: off."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws UsageException {
		if (line.getArgList().size() != 1) {
			throw new UsageException("FILE is " + line.getArgList() + "; valid: the path of one configuration");
		}
		ConfigurationReport report = ConfigurationReport.of(read(line.getArgList().get(0)),
				line.hasOption(AGAINST) ? read(line.getOptionValue(AGAINST)) : null);
		out.print(line.hasOption(JSON) ? report.toJson() + "\n" : report.toText());
		return report.exitCode();
	}

	private static ConfigurationReport.Source read(String path) {
		try {
			return new ConfigurationReport.Source(path, Files.readAllBytes(Path.of(path)));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new ConfigurationReport.Source(path, null);
		}
	}

}
