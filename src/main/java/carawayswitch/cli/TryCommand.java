package carawayswitch.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.http.Json;
import carawayswitch.standin.TrialFleet;

/**
 * Runs a fleet of hosts and stand-ins in one process and sends it a sample request of
 * each kind of work. Stateless.
 */
final class TryCommand implements Command {

	private static final Map<String, String> ZONES_BY_HOST = Map.of("host-1", "zone-a", "host-2", "zone-a", "host-3",
			"zone-b");

	@Override
	public String name() {
		return "try";
	}

	@Override
	public String synopsis() {
		return "[--once] [--json]";
	}

	@Override
	public String summary() {
		return "Runs three hosts with stand-ins in one process and sends a sample request of each kind of work.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch try", "carawayswitch try --once --json");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.flagOption("once",
					"Exits after the samples. Default: keeps serving until interrupted."))
			.addOption(CommonOptions.flagOption("json", "Prints JSON instead of a table. Default: off."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		TrialFleet fleet = TrialFleet.start(List.of("zone-a", "zone-b"), Map.of());
		for (String host : ZONES_BY_HOST.keySet().stream().sorted().toList()) {
			fleet.addHost(host, ZONES_BY_HOST.get(host));
		}
		TrialRequests requests = new TrialRequests(fleet);
		requests.awaitReady();
		List<TrialRequests.Result> results = requests.sendAll();
		boolean allCorrect = results.stream().allMatch(TrialRequests.Result::correct);
		if (line.hasOption("json")) {
			printJson(results, out);
		}
		else {
			printTable(results, fleet, out);
		}
		if (!line.hasOption("once")) {
			Thread.currentThread().join();
		}
		fleet.stop();
		return allCorrect ? ExitCode.OK : ExitCode.FAILED;
	}

	private static void printJson(List<TrialRequests.Result> results, PrintStream out) {
		for (TrialRequests.Result result : results) {
			ObjectNode tree = Json.object();
			tree.put("request", result.request()).put("fleet", result.fleet()).put("tier", result.tier());
			tree.put("host", result.host()).put("endpoint", result.endpoint());
			tree.put("first_token_ms", result.firstByteMillis()).put("total_ms", result.totalMillis());
			tree.put("outcome", result.outcome()).put("right", result.correct());
			out.println(tree);
		}
	}

	private static void printTable(List<TrialRequests.Result> results, TrialFleet fleet, PrintStream out) {
		Table table = new Table("REQUEST", "FLEET", "TIER", "HOST", "ENDPOINT", "FIRST TOKEN", "TOTAL", "OUTCOME",
				"ANSWER");
		for (TrialRequests.Result result : results) {
			table.addRow(result.request(), result.fleet(), result.tier(), result.host(), result.endpoint(),
					result.firstByteMillis() + " ms", result.totalMillis() + " ms", result.outcome(),
					result.correct() ? "complete and correct" : "WRONG");
		}
		out.print(table);
		List<String> urls = new ArrayList<>();
		fleet.hosts().keySet().forEach((id) -> urls.add(id + " " + fleet.url(id)));
		out.println();
		out.println("hosts      " + String.join(", ", urls));
		out.println("log        " + fleet.log().url());
		out.println("host list  " + fleet.hostList().url());
		out.println("operators  token " + TrialFleet.OPERATOR_TOKEN);
	}

}
