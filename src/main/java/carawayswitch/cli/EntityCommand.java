package carawayswitch.cli;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import carawayswitch.config.QualifiedNames;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.TimeOrderedId;

/**
 * Shows and changes configured entities of one kind. Stateless.
 */
final class EntityCommand implements Command {

	private final String kind;

	EntityCommand(String kind) {
		this.kind = kind;
	}

	@Override
	public String name() {
		return this.kind;
	}

	@Override
	public String synopsis() {
		String drain = this.kind.equals("endpoint") ? " | drain NAME | undrain NAME" : "";
		return "list | show NAME | put NAME --body JSON | delete NAME" + drain + " [OPTION...]";
	}

	@Override
	public String summary() {
		return "Shows and changes each configured " + this.kind + ". Names are qualified by fleet: fleet/name.";
	}

	@Override
	public List<String> examples() {
		List<String> examples = new ArrayList<>(List.of("carawayswitch " + this.kind + " list"));
		switch (this.kind) {
			case "profile" -> examples.add("carawayswitch profile put sabarmati/tag "
					+ "--body '{\"tier\":\"background\",\"idempotent\":true,\"pressure\":\"preempt\"}'");
			case "tier" -> examples.add("carawayswitch tier put sabarmati/urgent --body '{\"urgency\":4}'");
			case "endpoint" -> examples.add("carawayswitch endpoint drain shared/engine-slow");
			default -> examples.add("carawayswitch " + this.kind + " show sabarmati/NAME");
		}
		return examples;
	}

	@Override
	public Options options() {
		return CommonOptions.operator()
			.addOption(CommonOptions.value("body", "JSON", "The entity as JSON, or @FILE. Required by put."))
			.addOption(CommonOptions.value("base", "REVISION",
					"Revision that the change is based on. Default: the present one."))
			.addOption(CommonOptions.value("change-id", "ID",
					"Id of the change; repeat it to repeat a change safely. Default: a new one."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		List<String> arguments = line.getArgList();
		String action = arguments.isEmpty() ? "" : arguments.get(0);
		OperatorClient client = OperatorClient.of(line);
		OperatorClient.Answer all = client.call("GET", "/admin/entities/" + this.kind, "");
		if (!all.ok()) {
			out.println(all.error());
			return ExitCode.FAILED;
		}
		if (action.equals("list")) {
			list(all.body(), line.hasOption("json"), out);
			return ExitCode.OK;
		}
		if (!List.of("show", "put", "delete", "drain", "undrain").contains(action) || arguments.size() != 2) {
			throw new UsageException("the action is \"" + action + "\"; valid: " + synopsis());
		}
		Either<String, JsonNode> entity = resolve(arguments.get(1), all.body(), action.equals("put"));
		if (entity.isLeft()) {
			out.println(entity.getLeft());
			return ExitCode.FAILED;
		}
		return act(action, entity.get(), line, client, out);
	}

	private ExitCode act(String action, JsonNode entity, CommandLine line, OperatorClient client, PrintStream out)
			throws Exception {
		return switch (action) {
			case "show" -> {
				out.println(entity.toPrettyString());
				yield ExitCode.OK;
			}
			case "delete" -> change("DELETE", entity, "", line, client, out);
			case "put" -> change("PUT", entity, body(line), line, client, out);
			default -> {
				ObjectNode body = entity.path("body").deepCopy();
				body.put("leaving", action.equals("drain"));
				yield change("PUT", entity, body.toString(), line, client, out);
			}
		};
	}

	private static String body(CommandLine line) throws Exception {
		String body = line.getOptionValue("body");
		if (body == null) {
			throw new UsageException("--body is not set; valid: the entity as JSON, or @FILE");
		}
		return body.startsWith("@") ? Files.readString(Path.of(body.substring(1))) : body;
	}

	private ExitCode change(String method, JsonNode entity, String body, CommandLine line, OperatorClient client,
			PrintStream out) throws Exception {
		String base = line.getOptionValue("base", entity.path("revision").asText("0"));
		String changeId = line.getOptionValue("change-id", TimeOrderedId.next());
		String author = System.getProperty("user.name", "operator");
		String path = "/admin/entities/" + this.kind + "/" + entity.path("name").asText() + "?base=" + base
				+ "&change_id=" + changeId + "&author=" + author;
		OperatorClient.Answer answer = client.call(method, path, body);
		out.println(answer.ok()
				? entity.path("name").asText() + " is in force at revision " + answer.body().path("revision").asText()
				: answer.error());
		return answer.ok() ? ExitCode.OK : ExitCode.FAILED;
	}

	private static Either<String, JsonNode> resolve(String name, JsonNode all, boolean mayBeNew) {
		List<String> known = new ArrayList<>();
		all.path("entities").forEach((entity) -> known.add(entity.path("name").asText()));
		if (mayBeNew && name.contains("/") && !known.contains(name)) {
			return Either.right(carawayswitch.http.Json.object().put("name", name).put("revision", 0));
		}
		Either<QualifiedNames.UnresolvedName, String> resolved = QualifiedNames.resolve(name, "", known,
				ErrorKind.NOT_FOUND);
		if (resolved.isLeft()) {
			return Either.left(resolved.getLeft().message());
		}
		for (JsonNode entity : all.path("entities")) {
			if (entity.path("name").asText().equals(resolved.get())) {
				return Either.right(entity);
			}
		}
		return Either.left("\"" + name + "\" is not configured");
	}

	private static void list(JsonNode all, boolean json, PrintStream out) {
		if (json) {
			out.println(all.toPrettyString());
			return;
		}
		Table table = new Table("NAME", "REVISION", "BODY");
		all.path("entities")
			.forEach((entity) -> table.row(entity.path("name").asText(), entity.path("revision").asText(),
					entity.path("body").toString()));
		out.print(table);
	}

}
