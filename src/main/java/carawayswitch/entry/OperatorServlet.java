package carawayswitch.entry;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.commons.codec.digest.DigestUtils;

import carawayswitch.config.ChangeVerdict;
import carawayswitch.config.ConfigurationState;
import carawayswitch.config.Entity;
import carawayswitch.config.EntityKind;
import carawayswitch.config.QualifiedNames;
import carawayswitch.http.Json;
import carawayswitch.message.AuditEntry;
import carawayswitch.message.ConfigurationChange;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.TimeOrderedId;

/**
 * Serves the operators' API, health probes and metrics on one event loop. Confined to its
 * thread.
 *
 * <pre>
 * GET    /admin/entities/{kind}
 * PUT    /admin/entities/{kind}/{name}?base=REVISION&amp;change_id=ID
 * DELETE /admin/entities/{kind}/{name}?base=REVISION&amp;change_id=ID
 * GET    /admin/status
 * GET    /admin/audit?from=OFFSET
 * GET    /health, /ready, /metrics
 * </pre>
 */
public final class OperatorServlet implements AsyncServlet {

	private static final String ENTITIES_PATH = "/admin/entities/";

	private static final int SERVICE_UNAVAILABLE = 503;

	private final EntryContext context;

	private final Reactor reactor;

	private final AdminOperations operations;

	/**
	 * Creates a servlet.
	 * @param context state shared by all requests of the host
	 * @param reactor the event loop
	 * @param operations administrative operations of the host
	 */
	public OperatorServlet(EntryContext context, Reactor reactor, AdminOperations operations) {
		this.context = context;
		this.reactor = reactor;
		this.operations = operations;
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		return switch (request.getPath()) {
			case "/health" -> jsonResponse(200, Json.object().put("status", "up"));
			case "/ready" -> this.operations.ready() ? jsonResponse(200, Json.object().put("status", "ready"))
					: jsonResponse(SERVICE_UNAVAILABLE, Json.object().put("status", "not ready"));
			case "/metrics" -> Promise.of(HttpResponse.ok200()
				.withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4")
				.withBody(this.context.metrics().scrape())
				.build());
			default -> request.getPath().startsWith("/admin/") ? serveOperator(request)
					: errorResponse(ErrorKind.NOT_FOUND, request.getPath());
		};
	}

	private Promise<HttpResponse> serveOperator(HttpRequest request) {
		String header = request.getHeader(HttpHeaders.AUTHORIZATION);
		String token = (header != null && header.startsWith("Bearer ")) ? header.substring(7).strip() : "";
		if (token.isEmpty()) {
			return errorResponse(ErrorKind.UNAUTHENTICATED, "an operator's token is needed");
		}
		if (!DigestUtils.sha256Hex(token).equals(this.context.settings().operatorTokenHash())) {
			return errorResponse(ErrorKind.FORBIDDEN, "an operator's token is needed");
		}
		if (request.getPath().equals("/admin/status")) {
			SettablePromise<HttpResponse> promise = new SettablePromise<>();
			this.operations.status(onReactor((status) -> jsonResponse(200, status).subscribe(promise::set)));
			return promise;
		}
		if (request.getPath().equals("/admin/audit")) {
			return serveAudit(request);
		}
		return request.getPath().startsWith(ENTITIES_PATH) ? serveEntities(request)
				: errorResponse(ErrorKind.NOT_FOUND, request.getPath());
	}

	private <T> Consumer<T> onReactor(Consumer<T> consumer) {
		return (value) -> this.reactor.execute(() -> consumer.accept(value));
	}

	private Promise<HttpResponse> serveEntities(HttpRequest request) {
		String[] segments = request.getPath().substring(ENTITIES_PATH.length()).split("/", 2);
		Option<EntityKind> kind = EntityKind.ofLabel(segments[0]);
		if (kind.isEmpty()) {
			return errorResponse(ErrorKind.NOT_FOUND,
					"kind \"" + segments[0] + "\"; valid: tier, profile, organisation, service, endpoint");
		}
		if (request.getMethod() == HttpMethod.GET) {
			return jsonResponse(200, listEntities(kind.get()));
		}
		if (segments.length < 2 || request.getMethod() != HttpMethod.PUT && request.getMethod() != HttpMethod.DELETE) {
			return errorResponse(ErrorKind.BAD_REQUEST, "valid: GET, PUT and DELETE with a name");
		}
		return request.loadBody(this.context.settings().maxBodyBytes())
			.then((body) -> changeEntity(request, kind.get(), segments[1], body.getArray()));
	}

	private JsonNode listEntities(EntityKind kind) {
		ConfigurationState state = this.context.configuration().state();
		ArrayNode entries = Json.object().putArray("entities");
		state.all(Entity.class, kind).forEach((name, entity) -> {
			ObjectNode entry = entries.addObject().put("name", name).put("revision", state.revision(kind, name));
			entry.set("body", Json.parse(EntityKind.toJson(entity).getBytes()).get());
		});
		ObjectNode root = Json.object().put("offset", state.offset());
		root.set("entities", entries);
		return root;
	}

	private Promise<HttpResponse> changeEntity(HttpRequest request, EntityKind kind, String name, byte[] body) {
		ConfigurationState state = this.context.configuration().state();
		boolean deleted = request.getMethod() == HttpMethod.DELETE;
		Either<QualifiedNames.UnresolvedName, String> resolved = name.contains("/") ? Either.right(name)
				: QualifiedNames.resolve(name, "", state.all(Entity.class, kind).keySet(), ErrorKind.NOT_FOUND);
		if (resolved.isLeft()) {
			return errorResponse(resolved.getLeft().kind(), resolved.getLeft().message());
		}
		String base = request.getQueryParameter("base");
		if (base == null || !base.matches("\\d{1,18}")) {
			return errorResponse(ErrorKind.BAD_REQUEST,
					"base is \"" + base + "\"; valid: the revision that the change is based on");
		}
		String changeId = request.getQueryParameter("change_id");
		String author = request.getQueryParameter("author");
		ConfigurationChange change = new ConfigurationChange((changeId != null) ? changeId : TimeOrderedId.next(),
				(author != null) ? author : "operator", System.currentTimeMillis(), kind.label(), resolved.get(),
				Long.parseLong(base), deleted,
				deleted ? "" : new String(body, java.nio.charset.StandardCharsets.UTF_8));
		String before = state.find(Entity.class, kind, resolved.get()).map(EntityKind::toJson).getOrElse("");
		SettablePromise<HttpResponse> promise = new SettablePromise<>();
		this.operations.publish(change, onReactor((verdict) -> {
			recordAudit(change, before, verdict);
			verdictResponse(change, verdict).subscribe(promise::set);
		}));
		return promise;
	}

	private void recordAudit(ConfigurationChange change, String before, Option<ChangeVerdict> verdict) {
		String result = verdict
			.map((decided) -> (decided.kind() == ChangeVerdict.Kind.ACCEPTED) ? "accepted" : decided.reason())
			.getOrElse("not confirmed");
		this.operations.addAudit(new AuditEntry(change.atMillis(), change.author(), change.deleted() ? "delete" : "put",
				change.kind() + " " + change.name(), before, change.body(), change.changeId(), result));
	}

	private Promise<HttpResponse> verdictResponse(ConfigurationChange change, Option<ChangeVerdict> verdict) {
		if (verdict.isEmpty()) {
			return errorResponse(ErrorKind.LOG_UNAVAILABLE, "change id " + change.changeId());
		}
		ChangeVerdict decided = verdict.get();
		return switch (decided.kind()) {
			case CONFLICT -> errorResponse(ErrorKind.REVISION_CONFLICT, decided.reason());
			case INVALID -> errorResponse(ErrorKind.INVALID_CHANGE, decided.reason());
			case ACCEPTED -> jsonResponse(200,
					Json.object()
						.put("name", change.name())
						.put("revision", decided.revision())
						.put("change_id", change.changeId()));
		};
	}

	private Promise<HttpResponse> serveAudit(HttpRequest request) {
		String from = request.getQueryParameter("from");
		long offset = (from != null && from.matches("\\d{1,18}")) ? Long.parseLong(from) : 0;
		SettablePromise<HttpResponse> promise = new SettablePromise<>();
		this.operations.readAudit(offset, onReactor((entries) -> {
			Promise<HttpResponse> answer = entries.isDefined() ? jsonResponse(200, auditJson(entries.get()))
					: errorResponse(ErrorKind.LOG_UNAVAILABLE, "the audit trail cannot be read");
			answer.subscribe(promise::set);
		}));
		return promise;
	}

	private static JsonNode auditJson(List<AuditEntry> entries) {
		ObjectNode root = Json.object();
		ArrayNode list = root.putArray("entries");
		for (AuditEntry entry : entries) {
			list.addObject()
				.put("at", entry.atMillis())
				.put("author", entry.author())
				.put("action", entry.action())
				.put("subject", entry.subject())
				.put("before", entry.before())
				.put("after", entry.after())
				.put("change_id", entry.changeId())
				.put("verdict", entry.verdict());
		}
		return root;
	}

	private static Promise<HttpResponse> jsonResponse(int code, JsonNode body) {
		return Promise.of(HttpResponse.ofCode(code)
			.withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
			.withBody(Json.bytes(body))
			.build());
	}

	private Promise<HttpResponse> errorResponse(ErrorKind kind, String detail) {
		Outcome outcome = kind.outcome();
		return Promise.of(ErrorResponses.response(kind, outcome, detail, 0, TimeOrderedId.next(), this.context.host()));
	}

}
