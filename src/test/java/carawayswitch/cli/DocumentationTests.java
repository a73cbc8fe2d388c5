package carawayswitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import carawayswitch.log.LogEvent;
import carawayswitch.metrics.Metric;
import carawayswitch.outcome.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against operator pages and help texts that fall behind the code: an error kind,
 * metric or log event without a row, a row of a removed one, a command that does not
 * exist, or a help page without one of its sections.
 */
class DocumentationTests {

	private static String readPage(String name) throws IOException {
		return Files.readString(Path.of("docs/operations", name));
	}

	@Test
	void errorsPageListsExactlyTheErrorKinds() throws IOException {
		List<String> labels = Arrays.stream(ErrorKind.values()).map(ErrorKind::label).toList();
		assertThat(firstCells(readPage("errors.md"))).containsExactlyInAnyOrderElementsOf(labels);
	}

	@Test
	void metricsPageListsExactlyTheMetricsAndLogEvents() throws IOException {
		List<String> names = new ArrayList<>();
		Arrays.stream(Metric.values()).map(Metric::label).forEach(names::add);
		Arrays.stream(LogEvent.values()).map(LogEvent::label).forEach(names::add);
		assertThat(firstCells(readPage("metrics.md"))).containsExactlyInAnyOrderElementsOf(names);
	}

	private static List<String> firstCells(String page) {
		List<String> cells = new ArrayList<>();
		Matcher rows = Pattern.compile("(?m)^\\| `([^`]+)` \\|").matcher(page);
		while (rows.find()) {
			cells.add(rows.group(1));
		}
		return cells;
	}

	static Stream<Command> commands() {
		return Main.COMMANDS.stream();
	}

	@ParameterizedTest
	@MethodSource("commands")
	void helpPageHasAllSectionsAndFirstExample(Command command) {
		String page = Help.page(command);
		assertThat(page).startsWith("SYNOPSIS\n    carawayswitch " + command.name());
		assertThat(page).contains("DESCRIPTION", "OPTIONS", "EXAMPLES", "EXIT STATUS", command.examples().get(0));
	}

	@Test
	void commandsNamedInTheDocumentationExist() throws IOException {
		List<String> names = Main.COMMANDS.stream().map(Command::name).toList();
		try (Stream<Path> files = Files.walk(Path.of("docs"))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".md")).toList()) {
				Matcher mentions = Pattern.compile("(?:`|target/)carawayswitch ([a-z-]+)")
					.matcher(Files.readString(file));
				while (mentions.find()) {
					assertThat(names).as(file.toString()).contains(mentions.group(1));
				}
			}
		}
	}

}
