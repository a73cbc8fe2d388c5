package carawayswitch.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Shows the audit trail. Stateless.
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
		return "Shows the audit trail of changes, refused ones too.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch audit --author asha --subject profile");
	}

	@Override
	public Options options() {
		return CommonOptions.operatorOptions()
			.addOption(CommonOptions.valueOption("author", "NAME", "Shows entries of this author only. Default: all."))
			.addOption(CommonOptions.valueOption("action", "NAME", "Shows entries of this action only. Default: all."))
			.addOption(CommonOptions.valueOption("subject", "TEXT",
					"Shows entries whose subject contains the text. Default: all."))
			.addOption(CommonOptions.valueOption("from", "OFFSET", "First offset of the log. Default: 0."));
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
