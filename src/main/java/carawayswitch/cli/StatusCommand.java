package carawayswitch.cli;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Prints the state of a host. Stateless.
 */
final class StatusCommand implements Command {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String synopsis() {
		return "[OPTION...]";
	}

	@Override
	public String summary() {
		return "Prints the state of a host: its membership view, key slots and endpoints.";
	}

	@Override
	public List<String> examples() {
		return List.of("carawayswitch status --host 127.0.0.1:8080");
	}

	@Override
	public Options options() {
		return CommonOptions.operatorOptions();
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		OperatorClient.Response response = OperatorClient.of(line).call("GET", "/admin/status", "");
		if (!response.ok()) {
			out.println(response.errorMessage());
			return ExitCode.FAILED;
		}
		if (line.hasOption("json")) {
			out.println(response.body().toPrettyString());
			return ExitCode.OK;
		}
		Table table = new Table("KEY", "VALUE");
		response.body().fields().forEachRemaining((field) -> {
			if (field.getValue().isArray()) {
				field.getValue().forEach((element) -> table.addRow(field.getKey(), element.toString()));
			}
			else {
				table.addRow(field.getKey(), field.getValue().asText());
			}
		});
		out.print(table);
		return ExitCode.OK;
	}

}
