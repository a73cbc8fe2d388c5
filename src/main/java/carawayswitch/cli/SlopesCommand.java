package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.slopes.OverheadRunner;

/**
 * Measures the slopes of the capacity page. Stateless.
 */
final class SlopesCommand implements Command {

	private static final int[] FLEET_SIZES = { 3, 6, 12, 24 };

	@Override
	public String name() {
		return "slopes";
	}

	@Override
	public String synopsis() {
		return "[--millis N]";
	}

	@Override
	public String summary() {
		return "Measures what each part costs for each host, request, grant and record.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch slopes --millis 10000");
	}

	@Override
	public Options options() {
		return new Options().addOption(CommonOptions.valueOption("millis", "N",
				"Time in milliseconds for which each fleet is measured. Default: 10000."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		OverheadRunner.run(FLEET_SIZES, CommonOptions.parseNumber(line, "millis", 10_000, 500, 600_000), out);
		return ExitCode.OK;
	}

}
