package carawayswitch.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

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
 * Runs a gateway host until the process is asked to stop, and reloads changed settings.
 * Stateless.
 */
final class GatewayCommand implements Command {

	private static final String METRICS_PORT = "metrics-port";

	private static final String WARM_UP = "warm-up";

	/** Interval between two checks of the settings file in milliseconds. */
	private static final long FILE_CHECK_INTERVAL_MILLIS = 1000;

	/** Longest time in milliseconds for writing the last log lines of a failed host. */
	private static final long LAST_LINES_MILLIS = 1000;

	/**
	 * Properties of Netty that are set unless the command line sets them. Only its HTTP
	 * codecs are used, on buffers of the heap. Flight recorder events, the start of which
	 * takes a third of the processor time up to readiness, pooled buffers and records of
	 * leaks are of no use to them.
	 */
	private static final Map<String, String> NETTY_PROPERTIES = Map.of("io.netty.jfr.enabled", "false",
			"io.netty.allocator.type", "unpooled", "io.netty.noPreferDirect", "true", "io.netty.leakDetection.level",
			"disabled");

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
		return "Runs a gateway host on a platform. SIGTERM shuts it down gracefully: in-flight requests complete "
				+ "within the grace period. SIGHUP or a change of the settings file reloads the settings.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch gateway --config boot.json --metrics-port 9464");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.valueOption("config", "FILE",
					"Settings file that the platform provides. Default: the path in the variable "
							+ BootFile.PATH_VARIABLE + "."))
			.addOption(CommonOptions.valueOption(METRICS_PORT, "PORT",
					"Port for metrics on the internal address, 0 to 65535; 0 disables them. Default: 0."))
			.addOption(CommonOptions.flagOption(WARM_UP,
					"Serves one request of each kind with stand-ins and exits; used to build a class archive. Default: off."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		// Overrides tinylog.properties, which sends the log to standard error.
		System.setProperty("tinylog.writer.stream", "out");
		NETTY_PROPERTIES.forEach((name, value) -> System.getProperties().putIfAbsent(name, value));
		if (line.hasOption(WARM_UP)) {
			WarmUp.run((file) -> start(file, 0, reloadOnSignal(file)));
			return ExitCode.OK;
		}
		String path = line.getOptionValue("config", System.getenv(BootFile.PATH_VARIABLE));
		if (path == null) {
			throw new UsageException("--config is not set; valid: the path of a settings file, also in the variable "
					+ BootFile.PATH_VARIABLE);
		}
		Path file = Path.of(path);
		CompletableFuture<GatewayHost> started = reloadOnSignal(file);
		byte[] content = Files.readAllBytes(file);
		GatewayHost host = start(file, metricsPort(line), started);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> host.stop().join()));
		watchSettingsFile(host, file, content);
		return ExitCode.OK;
	}

	// Also run by the training run, so that the archive holds the classes of a start.
	private static GatewayHost start(Path file, int metricsPort, CompletableFuture<GatewayHost> started)
			throws IOException {
		GatewaySettings settings = BootFile.read(file);
		GatewayHost host = GatewayHost.start(settings, metricsPort, new PlatformHeaderCodec(),
				(reactor, pool) -> new StoreClient(reactor, pool, settings.store()));
		startDaemon(() -> haltWhenLoopFails(host));
		started.complete(host);
		return host;
	}

	// Without a handler the signal ends the process.
	private static CompletableFuture<GatewayHost> reloadOnSignal(Path file) {
		CompletableFuture<GatewayHost> started = new CompletableFuture<>();
		Signal.handle(new Signal("HUP"), (signal) -> started.thenAccept((running) -> reload(running, file)));
		return started;
	}

	private static Thread startDaemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	// Without its event loop a host answers nothing, while other threads would keep the
	// process alive. It is halted, since the shutdown hook waits for the loop.
	private static void haltWhenLoopFails(GatewayHost host) {
		boolean failed = true;
		try {
			Optional<Throwable> failure = host.awaitEnd();
			failed = failure.isPresent();
			if (failed) {
				startDaemon(() -> {
					host.closeLog();
					LogEvent.HOST_FAILED.log("reason", failure.get(), "exit_code", ExitCode.HOST_FAILED.code());
				}).join(LAST_LINES_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (failed) {
				Runtime.getRuntime().halt(ExitCode.HOST_FAILED.code());
			}
		}
	}

	private static int metricsPort(CommandLine line) throws UsageException {
		String text = line.getOptionValue(METRICS_PORT, "0");
		if (!text.matches("\\d{1,5}") || Integer.parseInt(text) > 65535) {
			throw new UsageException("--" + METRICS_PORT + " is \"" + text + "\"; valid: 0 to 65535");
		}
		int port = Integer.parseInt(text);
		return (port > 0) ? port : GatewayHost.NO_METRICS;
	}

	private static void watchSettingsFile(GatewayHost host, Path file, byte[] initialContent)
			throws InterruptedException {
		byte[] lastContent = initialContent;
		while (true) {
			Thread.sleep(FILE_CHECK_INTERVAL_MILLIS);
			byte[] content = readContent(file, lastContent);
			if (!Arrays.equals(content, lastContent)) {
				lastContent = content;
				reload(host, file);
			}
		}
	}

	/**
	 * Reads the settings file. If that fails, the failure is logged and the last content
	 * is returned, so that the host keeps its current settings.
	 * @param file the settings file
	 * @param lastContent content at the last successful read
	 * @return the content of the file, or the last content
	 */
	private static byte[] readContent(Path file, byte[] lastContent) {
		try {
			return Files.readAllBytes(file);
		}
		catch (IOException ex) {
			LogEvent.SETTINGS_RELOADED.log("changed", false, "reason", ex);
			return lastContent;
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
