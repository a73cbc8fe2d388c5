package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.measure.PolicyComparison;

/**
 * Simulates the scheduling policies under synthetic workloads and checks the results of
 * the current policy against its bounds. Stateless.
 */
final class MeasureCommand implements Command {

	@Override
	public String name() {
		return "measure";
	}

	@Override
	public String synopsis() {
		return "[--seed N] [--workload NAME] [--json]";
	}

	@Override
	public String summary() {
		return "Compares the scheduling policy with baseline policies and checks its results against bounds.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch measure", "carawayswitch measure --workload overload --seed 7");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.valueOption("seed", "N", "Seed of the random number generator. Default: 1."))
			.addOption(CommonOptions.valueOption("workload", "NAME",
					"Name of the only workload to run. Default: all workloads."))
			.addOption(CommonOptions.flagOption("json", "Prints JSON instead of tables. Default: off."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws UsageException {
		long seed = CommonOptions.parseNumber(line, "seed", 1, 0, Long.MAX_VALUE / 10);
		List<String> workloads = PolicyComparison.workloadNames();
		String workload = line.getOptionValue("workload");
		if (workload != null && !workloads.contains(workload)) {
			throw new UsageException("--workload is \"" + workload + "\"; valid: " + workloads);
		}
		PolicyComparison runner = PolicyComparison.run(seed, (workload != null) ? List.of(workload) : workloads);
		out.print(line.hasOption("json") ? runner.toJson() : runner.toText());
		return runner.violatedBounds().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

}
