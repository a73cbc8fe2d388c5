package carawayswitch.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import sun.misc.Signal;

import carawayswitch.gateway.GatewayHost;
import carawayswitch.gateway.GatewaySettings;
import carawayswitch.log.LogEvent;
import carawayswitch.platform.BootFile;
import carawayswitch.platform.PlatformHeaderCodec;
import carawayswitch.platform.StoreClient;
import carawayswitch.standin.WarmUp;

/**
 * Runs a gateway host until it is told to stop. Stateless.
 */
final class GatewayCommand implements Command {

	private static final String METRICS_PORT = "metrics-port";

	private static final String WARM_UP = "warm-up";

	/** Time between two looks at the settings file in milliseconds. */
	private static final long FILE_CHECK_MILLIS = 1000;

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public String synopsis() {
		return "[--config FILE] [--metrics-port PORT] [--warm-up]";
	}

	@Override
	public String summary() {
		return "Runs an entry host on a platform. SIGTERM stops it without cutting off a request; SIGHUP, or a "
				+ "change of the file, makes it read its settings again.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch gateway --config boot.json --metrics-port 9464");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.value("config", "FILE",
					"Settings file of the platform. Default: the path in " + BootFile.PATH_VARIABLE + "."))
			.addOption(CommonOptions.value(METRICS_PORT, "PORT",
					"Port for metrics on the internal address; 0 serves none. Default: 0."))
			.addOption(CommonOptions.flag(WARM_UP,
					"Serves a request of each kind with stand-ins and exits. For class archives."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		System.setProperty("tinylog.writer.stream", "out");
		if (line.hasOption(WARM_UP)) {
			WarmUp.run();
			return ExitCode.OK;
		}
		String path = line.getOptionValue("config", System.getenv(BootFile.PATH_VARIABLE));
		if (path == null) {
			throw new UsageException("--config is not set; valid: a settings file, also by " + BootFile.PATH_VARIABLE);
		}
		Path file = Path.of(path);
		byte[] content = Files.readAllBytes(file);
		GatewaySettings settings = BootFile.read(file);
		GatewayHost host = GatewayHost.start(settings, port(line), new PlatformHeaderCodec(),
				(reactor, pool) -> new StoreClient(reactor, pool, settings.store()));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> host.stop().join()));
		Signal.handle(new Signal("HUP"), (signal) -> reload(host, file));
		watch(host, file, content);
		return ExitCode.OK;
	}

	private static int port(CommandLine line) throws UsageException {
		String text = line.getOptionValue(METRICS_PORT, "0");
		if (!text.matches("\\d{1,5}") || Integer.parseInt(text) > 65535) {
			throw new UsageException("--" + METRICS_PORT + " is \"" + text + "\"; valid: 0 to 65535");
		}
		int port = Integer.parseInt(text);
		return (port > 0) ? port : GatewayHost.NO_METRICS;
	}

	private static void watch(GatewayHost host, Path file, byte[] initial) throws InterruptedException {
		byte[] known = initial;
		while (true) {
			Thread.sleep(FILE_CHECK_MILLIS);
			byte[] content = content(file, known);
			if (!Arrays.equals(content, known)) {
				known = content;
				reload(host, file);
			}
		}
	}

	private static byte[] content(Path file, byte[] known) {
		try {
			return Files.readAllBytes(file);
		}
		catch (IOException ex) {
			LogEvent.SETTINGS_RELOADED.log("changed", false, "reason", ex);
			return known;
		}
	}

	private static void reload(GatewayHost host, Path file) {
		try {
			host.reload(BootFile.read(file));
		}
		catch (IOException | RuntimeException ex) {
			LogEvent.SETTINGS_RELOADED.log("changed", false, "reason", ex);
		}
	}

}
