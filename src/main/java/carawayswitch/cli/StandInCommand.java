package carawayswitch.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.standin.EngineProfile;
import carawayswitch.standin.EngineStandIn;
import carawayswitch.standin.HostListStandIn;
import carawayswitch.standin.LogStandIn;
import carawayswitch.standin.ServiceStandIn;

/**
 * Runs a stand-in for a service of the platform or for an endpoint. Stateless.
 */
final class StandInCommand implements Command {

	private static final List<String> KINDS = List.of("log", "hosts", "engine", "service");

	@Override
	public String name() {
		return "stand-in";
	}

	@Override
	public String synopsis() {
		return "log|hosts|engine|service [OPTION...]";
	}

	@Override
	public String summary() {
		return "Runs a stand-in for the log or the host list of the platform, an engine or a plain service.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch stand-in log --listen 127.0.0.1:7001",
				"carawayswitch stand-in engine --listen 127.0.0.1:7101 --speed slow");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.valueOption("listen", "ADDRESS",
					"IP address and port to listen on; port 0 picks a free port. Default: 127.0.0.1:0."))
			.addOption(CommonOptions.valueOption("name", "NAME",
					"Name of an engine or service in its answers. Default: the kind of stand-in."))
			.addOption(CommonOptions.valueOption("speed", "fast|slow", "Speed of an engine. Default: fast."))
			.addOption(CommonOptions.valueOption("latency", "MILLIS",
					"Latency of a service in milliseconds, 0 to 600000. Default: 5."))
			.addOption(CommonOptions.valueOption("lag", "MILLIS",
					"Delay in milliseconds until the host list shows a change, 0 to 600000. Default: 2000."))
			.addOption(CommonOptions.valueOption("retention", "RECORDS",
					"Number of records that each stream of the log keeps, 1 to 10000000. Default: 100000."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		String kind = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
		InetSocketAddress address = CommonOptions.parseAddress(line, "listen", "127.0.0.1:0");
		String name = line.getOptionValue("name", kind);
		String url = switch (kind) {
			case "log" ->
				LogStandIn.start(address, (int) CommonOptions.parseNumber(line, "retention", 100_000, 1, 10_000_000))
					.url();
			case "hosts" ->
				HostListStandIn.start(address, CommonOptions.parseNumber(line, "lag", 2000, 0, 600_000)).url();
			case "engine" -> EngineStandIn.start(name, address, engineProfile(line)).url();
			case "service" ->
				ServiceStandIn.start(name, address, CommonOptions.parseNumber(line, "latency", 5, 0, 600_000)).url();
			default -> throw new UsageException("the kind of stand-in is \"" + kind + "\"; valid: " + KINDS);
		};
		out.println(kind + " at " + url);
		Thread.currentThread().join();
		return ExitCode.OK;
	}

	private static EngineProfile engineProfile(CommandLine line) throws UsageException {
		String speed = line.getOptionValue("speed", "fast");
		return switch (speed) {
			case "fast" -> EngineProfile.FAST;
			case "slow" -> EngineProfile.SLOW;
			default -> throw new UsageException("--speed is \"" + speed + "\"; valid: [fast, slow]");
		};
	}

}
