package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.slopes.OverheadRunner;

/**
 * Measures how cost grows with the number of hosts, requests, grants and records. These
 * are the slopes of the capacity page. Stateless.
 */
final class SlopesCommand implements Command {

	/** Numbers of hosts of the fleets whose control traffic is measured. */
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
		return "Measures the cost of each part per host, request, grant and record.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch slopes --millis 10000");
	}

	@Override
	public Options options() {
		return new Options().addOption(CommonOptions.valueOption("millis", "N",
				"Measuring time per fleet size in milliseconds, 500 to 600000. Default: 10000."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		OverheadRunner.run(FLEET_SIZES, CommonOptions.parseNumber(line, "millis", 10_000, 500, 600_000), out);
		return ExitCode.OK;
	}

}
