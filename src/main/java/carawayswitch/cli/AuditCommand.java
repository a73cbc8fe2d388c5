package carawayswitch.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Prints the audit trail of changes. Stateless.
 */
final class AuditCommand implements Command {

	@Override
	public String name() {
		return "audit";
	}

	@Override
	public String synopsis() {
		return "[OPTION...]";
	}

	@Override
	public String summary() {
		return "Prints the audit trail of changes, including rejected ones.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch audit --author asha --subject profile");
	}

	@Override
	public Options options() {
		return CommonOptions.operatorOptions()
			.addOption(CommonOptions.valueOption("author", "NAME", "Prints only entries of this author. Default: all."))
			.addOption(CommonOptions.valueOption("action", "NAME", "Prints only entries of this action. Default: all."))
			.addOption(CommonOptions.valueOption("subject", "TEXT",
					"Prints only entries whose subject contains this text. Default: all."))
			.addOption(CommonOptions.valueOption("from", "OFFSET", "First log offset to read. Default: 0."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		long from = CommonOptions.parseNumber(line, "from", 0, 0, Long.MAX_VALUE / 10);
		OperatorClient.Response response = OperatorClient.of(line).call("GET", "/admin/audit?from=" + from, "");
		if (!response.ok()) {
			out.println(response.errorMessage());
			return ExitCode.FAILED;
		}
		Table table = new Table("AT", "AUTHOR", "ACTION", "SUBJECT", "VERDICT", "CHANGE");
		for (JsonNode entry : response.body().path("entries")) {
			if (!matches(entry, line)) {
				continue;
			}
			if (line.hasOption("json")) {
				out.println(entry);
			}
			table.addRow(Instant.ofEpochMilli(entry.path("at").asLong()).toString(), entry.path("author").asText(),
					entry.path("action").asText(), entry.path("subject").asText(), entry.path("verdict").asText(),
					entry.path("change_id").asText());
		}
		if (!line.hasOption("json")) {
			out.print(table);
		}
		return ExitCode.OK;
	}

	private static boolean matches(JsonNode entry, CommandLine line) {
		return entry.path("author").asText().equals(line.getOptionValue("author", entry.path("author").asText()))
				&& entry.path("action").asText().equals(line.getOptionValue("action", entry.path("action").asText()))
				&& entry.path("subject").asText().contains(line.getOptionValue("subject", ""));
	}

}
