package carawayswitch.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.config.EntityKind;
import carawayswitch.config.Organisation;
import carawayswitch.config.Profile;
import carawayswitch.config.QualifiedNames;
import carawayswitch.config.Service;
import carawayswitch.http.Json;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.TimeOrderedId;

/**
 * Turns HTTP requests of callers into {@link CallerCall}s. Stateless and safe for use by
 * several threads.
 */
final class RequestParser {

	static final String SERVICES_PATH = "/services/";

	private static final String BEARER = "Bearer ";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int PREFIX_CHARACTERS = 512;

	private static final long MAX_DEADLINE_MILLIS = 3_600_000;

	private final EntryIndex index;

	private final long defaultDeadlineMillis;

	RequestParser(EntryIndex index, long defaultDeadlineMillis) {
		this.index = index;
		this.defaultDeadlineMillis = defaultDeadlineMillis;
	}

	CallerCall parse(HttpRequest request, byte[] body, String requestId, long now) throws RequestException {
		String organisationName = organisation(request);
		String fleet = QualifiedNames.fleet(organisationName);
		return request.getPath().startsWith(SERVICES_PATH)
				? serviceCall(request, body, requestId, organisationName, fleet, now)
				: engineCall(request, body, requestId, organisationName, fleet, now);
	}

	private String organisation(HttpRequest request) throws RequestException {
		String header = header(request, HttpHeaders.AUTHORIZATION);
		String token = header.startsWith(BEARER) ? header.substring(BEARER.length()).strip() : "";
		String name = token.isEmpty() ? null : this.index.organisationByToken().get(DigestUtils.sha256Hex(token));
		if (name == null) {
			throw new RequestException(ErrorKind.UNAUTHENTICATED, "Authorization: Bearer with a known token is needed");
		}
		return name;
	}

	private CallerCall serviceCall(HttpRequest request, byte[] body, String requestId, String organisationName,
			String fleet, long now) throws RequestException {
		String rest = request.getPathAndQuery().substring(SERVICES_PATH.length());
		String[] parts = rest.split("/", 3);
		boolean qualified = parts.length > 1 && known(parts[0] + "/" + parts[1].replaceAll("\\?.*", ""));
		String given = qualified ? parts[0] + "/" + parts[1].replaceAll("\\?.*", "") : parts[0].replaceAll("\\?.*", "");
		String service = resolveService(given, fleet, false);
		String path = rest.substring(given.length());
		path = path.startsWith("/") ? path : "/" + path;
		Resolved resolved = resolveProfile(request, service, fleet);
		String contentType = header(request, HttpHeaders.CONTENT_TYPE);
		String key = header(request, Headers.KEY);
		return new CallerCall(requestId, organisationName, organisationOf(organisationName), service, false,
				resolved.name(), resolved.profile(), request.getMethod().name(), path, contentType, body, false, false,
				0, 0, 0, 0, qualifiedKey(organisationName, key), minted(key), fingerprint(request, body), now,
				deadline(request, resolved.profile(), now));
	}

	private boolean known(String service) {
		return this.index.state().find(Service.class, EntityKind.SERVICE, service).isDefined();
	}

	private CallerCall engineCall(HttpRequest request, byte[] body, String requestId, String organisationName,
			String fleet, long now) throws RequestException {
		JsonNode tree = Json.parse(body)
			.filter(JsonNode::isObject)
			.getOrElseThrow(() -> new RequestException(ErrorKind.BAD_JSON, "the body is not a JSON object"));
		String model = tree.path("model").asText();
		if (model.isEmpty()) {
			throw new RequestException(ErrorKind.BAD_JSON, "model is not set; valid: the name of a model");
		}
		boolean chat = request.getPath().endsWith("/chat/completions");
		if (chat ? !tree.path("messages").isArray() : !tree.path("prompt").isTextual()) {
			throw new RequestException(ErrorKind.BAD_JSON, chat ? "messages is not an array" : "prompt is not a text");
		}
		String service = resolveService(model, fleet, true);
		Resolved resolved = resolveProfile(request, service, fleet);
		ObjectNode forwarded = tree.deepCopy();
		forwarded.put("stream", true);
		forwarded.put("model", service.substring(service.indexOf('/') + 1));
		String prompt = prompt(tree, chat);
		String prefix = prefix(tree, chat, prompt);
		String key = header(request, Headers.KEY);
		return new CallerCall(requestId, organisationName, organisationOf(organisationName), service, true,
				resolved.name(), resolved.profile(), "POST", request.getPath(), "application/json",
				Json.bytes(forwarded), tree.path("stream").asBoolean(), chat, tokens(prompt), hash(prefix),
				tokens(prefix), Math.max(0, tree.path("max_tokens").asInt()), qualifiedKey(organisationName, key),
				minted(key), fingerprint(request, body), now, deadline(request, resolved.profile(), now));
	}

	private static String prompt(JsonNode tree, boolean chat) {
		if (!chat) {
			return tree.path("prompt").asText();
		}
		StringBuilder text = new StringBuilder();
		tree.path("messages").forEach((message) -> text.append(message.path("content").asText()).append('\n'));
		return text.toString();
	}

	private static String prefix(JsonNode tree, boolean chat, String prompt) {
		String first = chat ? tree.path("messages").path(0).path("content").asText() : prompt;
		return (first.length() >= PREFIX_CHARACTERS) ? first.substring(0, PREFIX_CHARACTERS) : "";
	}

	private static int tokens(String text) {
		return (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
	}

	private static long hash(String text) {
		return text.isEmpty() ? 0 : MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	private String resolveService(String name, String fleet, boolean engine) throws RequestException {
		Either<QualifiedNames.UnresolvedName, String> resolved = QualifiedNames.resolve(name, fleet,
				this.index.serviceNames(), ErrorKind.UNKNOWN_SERVICE);
		if (resolved.isLeft()) {
			throw new RequestException(resolved.getLeft().kind(), resolved.getLeft().message());
		}
		Service service = this.index.state().find(Service.class, EntityKind.SERVICE, resolved.get()).get();
		if (service.engine() != engine) {
			throw new RequestException(ErrorKind.UNKNOWN_SERVICE,
					"\"" + name + "\" is a " + (service.engine() ? "model" : "plain service"));
		}
		return resolved.get();
	}

	private Resolved resolveProfile(HttpRequest request, String serviceName, String fleet) throws RequestException {
		Service service = this.index.state().find(Service.class, EntityKind.SERVICE, serviceName).get();
		List<String> accepted = service.profiles()
			.stream()
			.map((name) -> QualifiedNames.qualify(QualifiedNames.fleet(serviceName), name))
			.toList();
		String given = header(request, Headers.PROFILE);
		Either<QualifiedNames.UnresolvedName, String> name = given.isEmpty() ? Either.right(accepted.get(0))
				: QualifiedNames.resolve(given, fleet, accepted, ErrorKind.UNKNOWN_PROFILE);
		if (name.isLeft()) {
			throw new RequestException(name.getLeft().kind(), name.getLeft().message());
		}
		Profile profile = this.index.state()
			.find(Profile.class, EntityKind.PROFILE, name.get())
			.getOrElseThrow(() -> new RequestException(ErrorKind.UNKNOWN_PROFILE,
					"profile \"" + name.get() + "\" is not configured"));
		return new Resolved(name.get(), profile);
	}

	private Organisation organisationOf(String name) {
		return this.index.state().find(Organisation.class, EntityKind.ORGANISATION, name).get();
	}

	private static String qualifiedKey(String organisation, String key) {
		return key.isEmpty() ? "" : organisation + ":" + key;
	}

	private static long minted(String key) throws RequestException {
		if (key.isEmpty()) {
			return 0;
		}
		return TimeOrderedId.createdMillis(key)
			.getOrElseThrow(() -> new RequestException(ErrorKind.BAD_IDEMPOTENCY_KEY, "the key is \"" + key + "\""));
	}

	private static long fingerprint(HttpRequest request, byte[] body) {
		byte[] line = (request.getMethod() + " " + request.getPathAndQuery()).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(line)[0] ^ MurmurHash3.hash128x64(body)[0];
	}

	private long deadline(HttpRequest request, Profile profile, long now) throws RequestException {
		String given = header(request, Headers.DEADLINE);
		if (given.isEmpty()) {
			return now + ((profile.deadlineMillis() > 0) ? profile.deadlineMillis() : this.defaultDeadlineMillis);
		}
		if (!given.matches("\\d{1,9}") || Long.parseLong(given) > MAX_DEADLINE_MILLIS || Long.parseLong(given) == 0) {
			throw new RequestException(ErrorKind.BAD_REQUEST,
					"X-Deadline-Ms is \"" + given + "\"; valid: 1 to " + MAX_DEADLINE_MILLIS + " milliseconds");
		}
		return now + Long.parseLong(given);
	}

	private static String header(HttpRequest request, HttpHeader name) {
		String value = request.getHeader(name);
		return (value != null) ? value : "";
	}

	private record Resolved(String name, Profile profile) {

	}

}
