package carawayswitch.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.host.CarawayHost;
import carawayswitch.settings.Settings;
import carawayswitch.settings.SettingsError;
import carawayswitch.settings.SettingsFile;

/**
 * Runs a host until the process is asked to stop. Stateless.
 */
final class ServeCommand implements Command {

	@Override
	public String name() {
		return "serve";
	}

	@Override
	public String synopsis() {
		return "--config FILE";
	}

	@Override
	public String summary() {
		return "Runs a host. SIGTERM shuts it down gracefully: in-flight requests complete.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch serve --config host.ini");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.valueOption("config", "FILE", "Settings file of the host. Required."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		if (!line.hasOption("config")) {
			throw new UsageException("--config is not set; valid: the path of a settings file");
		}
		Either<List<SettingsError>, Settings> settings = SettingsFile.read(Path.of(line.getOptionValue("config")));
		if (settings.isLeft()) {
			settings.getLeft().forEach(out::println);
			return ExitCode.USAGE;
		}
		CarawayHost host = CarawayHost.start(settings.get());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> host.stop().join()));
		Thread.currentThread().join();
		return ExitCode.OK;
	}

}
