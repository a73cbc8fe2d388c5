package carawayswitch.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.log.LogLine;

/**
 * Prints the timeline of one request from the log of a host. Stateless.
 */
final class ExplainCommand implements Command {

	/**
	 * Events that change the state or the cached records of a host. Before a line of the
	 * request, only the last event of each name and kind of records is shown.
	 */
	private static final Set<String> STATE_EVENTS = Set.of("routes.changed", "readiness.changed", "pool.owner.changed",
			"store.lost", "store.regained", "clock.stepped", "loop.delayed", "host.started", "host.stopping",
			"settings.reloaded");

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String synopsis() {
		return "[--log FILE] ID";
	}

	@Override
	public String summary() {
		return "Prints the timeline of one request from the log of the host that served it.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch explain --log host.log 9c41d07be2a35f68",
				"grep -h request=9c41d07be2a35f68 *.log | carawayswitch explain 9c41d07be2a35f68");
	}

	@Override
	public Options options() {
		return new Options().addOption(
				CommonOptions.valueOption("log", "FILE", "Log file of the host; - reads standard input. Default: -."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		if (line.getArgList().size() != 1) {
			throw new UsageException("ID is " + line.getArgList() + "; valid: the id of one request");
		}
		String id = line.getArgList().get(0);
		List<LogLine> timeline = readTimeline(line.getOptionValue("log", "-"), id);
		if (timeline.stream().noneMatch((logLine) -> logLine.concerns(id))) {
			out.println("the log has no line for request " + id
					+ "; another host may have served it, or its lines were omitted (see log.omitted)");
			return ExitCode.FAILED;
		}
		Table table = new Table("MS", "EVENT", "DETAILS");
		long end = timeline.get(timeline.size() - 1).atMillis();
		for (LogLine logLine : timeline) {
			table.addRow(Long.toString(logLine.atMillis() - end), logLine.event(), details(logLine));
		}
		out.print(table);
		return ExitCode.OK;
	}

	private static List<LogLine> readTimeline(String logFile, String id) throws IOException {
		Map<String, LogLine> stateChanges = new LinkedHashMap<>();
		List<LogLine> timeline = new ArrayList<>();
		try (BufferedReader lines = logFile.equals("-")
				? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
				: Files.newBufferedReader(Path.of(logFile), StandardCharsets.UTF_8)) {
			for (String text = lines.readLine(); text != null; text = lines.readLine()) {
				LogLine.parse(text).ifPresent((logLine) -> {
					if (logLine.concerns(id)) {
						timeline.addAll(stateChanges.values());
						stateChanges.clear();
						timeline.add(logLine);
					}
					else if (STATE_EVENTS.contains(logLine.event())) {
						stateChanges.put(logLine.event() + logLine.values().get("records"), logLine);
					}
				});
			}
		}
		return timeline;
	}

	private static String details(LogLine logLine) {
		return logLine.values()
			.entrySet()
			.stream()
			.filter((field) -> !field.getKey().equals("request"))
			.map((field) -> field.getKey() + "=" + field.getValue())
			.collect(Collectors.joining(" "));
	}

}
