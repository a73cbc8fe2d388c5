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
 * Tells the story of one request from the log of a host. Stateless.
 */
final class ExplainCommand implements Command {

	/** Events that change what a host believes; the last of each kind is shown. */
	private static final Set<String> BELIEFS = Set.of("routes.changed", "readiness.changed", "pool.owner.changed",
			"store.lost", "store.regained", "clock.stepped", "host.started", "host.stopping", "settings.reloaded");

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
		return "Tells the story of one request from the log of the host that served it.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch explain --log host.log 9c41d07be2a35f68",
				"grep -h request=9c41d07be2a35f68 *.log | carawayswitch explain 9c41d07be2a35f68");
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.value("log", "FILE", "Log of the host; - is the standard input. Default: -."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		if (line.getArgList().size() != 1) {
			throw new UsageException("ID is " + line.getArgList() + "; valid: the id of one request");
		}
		String id = line.getArgList().get(0);
		List<LogLine> story = story(line.getOptionValue("log", "-"), id);
		if (story.stream().noneMatch((each) -> each.concerns(id))) {
			out.println("no line tells of request " + id
					+ "; it may have been served by another host or left out (see log.omitted)");
			return ExitCode.FAILED;
		}
		Table table = new Table("MS", "EVENT", "DETAILS");
		long end = story.get(story.size() - 1).atMillis();
		for (LogLine each : story) {
			table.row(Long.toString(each.atMillis() - end), each.event(), details(each));
		}
		out.print(table);
		return ExitCode.OK;
	}

	private static List<LogLine> story(String file, String id) throws IOException {
		Map<String, LogLine> beliefs = new LinkedHashMap<>();
		List<LogLine> story = new ArrayList<>();
		try (BufferedReader lines = file.equals("-")
				? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
				: Files.newBufferedReader(Path.of(file), StandardCharsets.UTF_8)) {
			for (String text = lines.readLine(); text != null; text = lines.readLine()) {
				LogLine.parse(text).ifPresent((each) -> {
					if (each.concerns(id)) {
						story.addAll(beliefs.values());
						beliefs.clear();
						story.add(each);
					}
					else if (BELIEFS.contains(each.event())) {
						beliefs.put(each.event() + each.values().get("records"), each);
					}
				});
			}
		}
		return story;
	}

	private static String details(LogLine line) {
		return line.values()
			.entrySet()
			.stream()
			.filter((each) -> !each.getKey().equals("request"))
			.map((each) -> each.getKey() + "=" + each.getValue())
			.collect(Collectors.joining(" "));
	}

}
