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
 * Lists, shows, changes and deletes configured entities of one kind. Stateless.
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
		return "Lists, shows, changes and deletes entities of kind " + this.kind
				+ ". Names are qualified by fleet: fleet/name.";
	}

	@Override
	public List<String> examples() {
		List<String> examples = new ArrayList<>(List.of("carawayswitch " + this.kind + " list"));
		switch (this.kind) {
			case "profile" -> examples.add("carawayswitch profile put north/tag "
					+ "--body '{\"tier\":\"background\",\"idempotent\":true,\"pressure\":\"preempt\"}'");
			case "tier" -> examples.add("carawayswitch tier put north/urgent --body '{\"urgency\":4}'");
			case "endpoint" -> examples.add("carawayswitch endpoint drain shared/engine-slow");
			default -> examples.add("carawayswitch " + this.kind + " show north/NAME");
		}
		return examples;
	}

	@Override
	public Options options() {
		return CommonOptions.operatorOptions()
			.addOption(CommonOptions.valueOption("body", "JSON",
					"Entity as JSON, or @FILE to read it from a file. Required by put."))
			.addOption(CommonOptions.valueOption("base", "REVISION",
					"Revision that the change is based on. Default: the current revision."))
			.addOption(CommonOptions.valueOption("change-id", "ID",
					"Id of the change; reuse it to retry a change safely. Default: a new id."));
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out) throws Exception {
		List<String> arguments = line.getArgList();
		String action = arguments.isEmpty() ? "" : arguments.get(0);
		OperatorClient client = OperatorClient.of(line);
		OperatorClient.Response listing = client.call("GET", "/admin/entities/" + this.kind, "");
		if (!listing.ok()) {
			out.println(listing.errorMessage());
			return ExitCode.FAILED;
		}
		if (action.equals("list")) {
			printList(listing.body(), line.hasOption("json"), out);
			return ExitCode.OK;
		}
		if (!List.of("show", "put", "delete", "drain", "undrain").contains(action) || arguments.size() != 2) {
			throw new UsageException("arguments are " + arguments + "; valid: " + synopsis());
		}
		Either<String, JsonNode> entity = resolve(arguments.get(1), listing.body(), action.equals("put"));
		if (entity.isLeft()) {
			out.println(entity.getLeft());
			return ExitCode.FAILED;
		}
		return perform(action, entity.get(), line, client, out);
	}

	private ExitCode perform(String action, JsonNode entity, CommandLine line, OperatorClient client, PrintStream out)
			throws Exception {
		return switch (action) {
			case "show" -> {
				out.println(entity.toPrettyString());
				yield ExitCode.OK;
			}
			case "delete" -> sendChange("DELETE", entity, "", line, client, out);
			case "put" -> sendChange("PUT", entity, readBody(line), line, client, out);
			default -> {
				ObjectNode body = entity.path("body").deepCopy();
				body.put("leaving", action.equals("drain"));
				yield sendChange("PUT", entity, body.toString(), line, client, out);
			}
		};
	}

	private static String readBody(CommandLine line) throws Exception {
		String body = line.getOptionValue("body");
		if (body == null) {
			throw new UsageException("--body is not set; valid: an entity as JSON, or @FILE");
		}
		return body.startsWith("@") ? Files.readString(Path.of(body.substring(1))) : body;
	}

	private ExitCode sendChange(String method, JsonNode entity, String body, CommandLine line, OperatorClient client,
			PrintStream out) throws Exception {
		String base = line.getOptionValue("base", entity.path("revision").asText("0"));
		String changeId = line.getOptionValue("change-id", TimeOrderedId.next());
		String author = System.getProperty("user.name", "operator");
		String path = "/admin/entities/" + this.kind + "/" + entity.path("name").asText() + "?base=" + base
				+ "&change_id=" + changeId + "&author=" + author;
		OperatorClient.Response response = client.call(method, path, body);
		out.println(response.ok()
				? entity.path("name").asText() + " is active at revision " + response.body().path("revision").asText()
				: response.errorMessage());
		return response.ok() ? ExitCode.OK : ExitCode.FAILED;
	}

	/**
	 * Resolves a name to its listed entity. If new names are allowed, an unknown
	 * qualified name resolves to an entity with revision 0.
	 * @param name the name, qualified or not
	 * @param listing the answer with all entities of the kind
	 * @param allowNew whether a new name is allowed
	 * @return the entity with its name and revision, or an error message
	 */
	private static Either<String, JsonNode> resolve(String name, JsonNode listing, boolean allowNew) {
		List<String> knownNames = new ArrayList<>();
		listing.path("entities").forEach((entity) -> knownNames.add(entity.path("name").asText()));
		if (allowNew && name.contains("/") && !knownNames.contains(name)) {
			return Either.right(carawayswitch.http.Json.object().put("name", name).put("revision", 0));
		}
		Either<QualifiedNames.UnresolvedName, String> resolved = QualifiedNames.resolve(name, "", knownNames,
				ErrorKind.NOT_FOUND);
		if (resolved.isLeft()) {
			return Either.left(resolved.getLeft().message());
		}
		for (JsonNode entity : listing.path("entities")) {
			if (entity.path("name").asText().equals(resolved.get())) {
				return Either.right(entity);
			}
		}
		return Either.left("\"" + name + "\" is not configured");
	}

	private static void printList(JsonNode listing, boolean json, PrintStream out) {
		if (json) {
			out.println(listing.toPrettyString());
			return;
		}
		Table table = new Table("NAME", "REVISION", "BODY");
		listing.path("entities")
			.forEach((entity) -> table.addRow(entity.path("name").asText(), entity.path("revision").asText(),
					entity.path("body").toString()));
		out.print(table);
	}

}
