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
 * Authenticates and parses HTTP requests of callers into {@link ResolvedRequest}s.
 * Immutable and safe for use by several threads.
 */
final class RequestParser {

	static final String SERVICES_PATH = "/services/";

	private static final String BEARER_PREFIX = "Bearer ";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int PREFIX_CHARACTERS = 512;

	private static final long MAX_DEADLINE_MILLIS = 3_600_000;

	private final ConfigurationIndex index;

	private final long defaultDeadlineMillis;

	RequestParser(ConfigurationIndex index, long defaultDeadlineMillis) {
		this.index = index;
		this.defaultDeadlineMillis = defaultDeadlineMillis;
	}

	ResolvedRequest parse(HttpRequest request, byte[] body, String requestId, long now) throws RequestException {
		String organisationName = authenticate(request);
		String fleet = QualifiedNames.fleet(organisationName);
		return request.getPath().startsWith(SERVICES_PATH)
				? parseServiceRequest(request, body, requestId, organisationName, fleet, now)
				: parseEngineRequest(request, body, requestId, organisationName, fleet, now);
	}

	private String authenticate(HttpRequest request) throws RequestException {
		String header = header(request, HttpHeaders.AUTHORIZATION);
		String token = header.startsWith(BEARER_PREFIX) ? header.substring(BEARER_PREFIX.length()).strip() : "";
		String name = token.isEmpty() ? null : this.index.organisationByTokenHash().get(DigestUtils.sha256Hex(token));
		if (name == null) {
			throw new RequestException(ErrorKind.UNAUTHENTICATED, "Authorization: Bearer with a known token is needed");
		}
		return name;
	}

	private ResolvedRequest parseServiceRequest(HttpRequest request, byte[] body, String requestId,
			String organisationName, String fleet, long now) throws RequestException {
		String relativePath = request.getPathAndQuery().substring(SERVICES_PATH.length());
		String[] segments = relativePath.split("/", 3);
		boolean qualified = segments.length > 1
				&& serviceExists(segments[0] + "/" + segments[1].replaceAll("\\?.*", ""));
		String serviceName = qualified ? segments[0] + "/" + segments[1].replaceAll("\\?.*", "")
				: segments[0].replaceAll("\\?.*", "");
		String service = resolveService(serviceName, fleet, false);
		String path = relativePath.substring(serviceName.length());
		path = path.startsWith("/") ? path : "/" + path;
		ResolvedProfile profile = resolveProfile(request, service, fleet);
		String contentType = header(request, HttpHeaders.CONTENT_TYPE);
		String key = header(request, Headers.IDEMPOTENCY_KEY);
		return new ResolvedRequest(requestId, organisationName, findOrganisation(organisationName), service, false,
				profile.name(), profile.profile(), request.getMethod().name(), path, contentType, body, false, false, 0,
				0, 0, 0, qualifiedKey(organisationName, key), keyCreatedMillis(key), fingerprint(request, body), now,
				deadlineMillis(request, profile.profile(), now));
	}

	private boolean serviceExists(String service) {
		return this.index.state().find(Service.class, EntityKind.SERVICE, service).isDefined();
	}

	private ResolvedRequest parseEngineRequest(HttpRequest request, byte[] body, String requestId,
			String organisationName, String fleet, long now) throws RequestException {
		JsonNode json = Json.parse(body)
			.filter(JsonNode::isObject)
			.getOrElseThrow(() -> new RequestException(ErrorKind.BAD_JSON, "the body is not a JSON object"));
		String model = json.path("model").asText();
		if (model.isEmpty()) {
			throw new RequestException(ErrorKind.BAD_JSON, "model is not set; valid: the name of a model");
		}
		boolean chat = request.getPath().endsWith("/chat/completions");
		if (chat ? !json.path("messages").isArray() : !json.path("prompt").isTextual()) {
			throw new RequestException(ErrorKind.BAD_JSON, chat ? "messages is not an array" : "prompt is not a text");
		}
		String service = resolveService(model, fleet, true);
		ResolvedProfile profile = resolveProfile(request, service, fleet);
		ObjectNode forwardedJson = json.deepCopy();
		forwardedJson.put("stream", true);
		forwardedJson.put("model", service.substring(service.indexOf('/') + 1));
		String prompt = promptText(json, chat);
		String prefix = promptPrefix(json, chat, prompt);
		String key = header(request, Headers.IDEMPOTENCY_KEY);
		return new ResolvedRequest(requestId, organisationName, findOrganisation(organisationName), service, true,
				profile.name(), profile.profile(), "POST", request.getPath(), "application/json",
				Json.bytes(forwardedJson), json.path("stream").asBoolean(), chat, estimateTokens(prompt), hash(prefix),
				estimateTokens(prefix), Math.max(0, json.path("max_tokens").asInt()),
				qualifiedKey(organisationName, key), keyCreatedMillis(key), fingerprint(request, body), now,
				deadlineMillis(request, profile.profile(), now));
	}

	private static String promptText(JsonNode json, boolean chat) {
		if (!chat) {
			return json.path("prompt").asText();
		}
		StringBuilder text = new StringBuilder();
		json.path("messages").forEach((message) -> text.append(message.path("content").asText()).append('\n'));
		return text.toString();
	}

	private static String promptPrefix(JsonNode json, boolean chat, String prompt) {
		String first = chat ? json.path("messages").path(0).path("content").asText() : prompt;
		return (first.length() >= PREFIX_CHARACTERS) ? first.substring(0, PREFIX_CHARACTERS) : "";
	}

	private static int estimateTokens(String text) {
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

	private ResolvedProfile resolveProfile(HttpRequest request, String serviceName, String fleet)
			throws RequestException {
		Service service = this.index.state().find(Service.class, EntityKind.SERVICE, serviceName).get();
		List<String> accepted = service.profiles()
			.stream()
			.map((name) -> QualifiedNames.qualify(QualifiedNames.fleet(serviceName), name))
			.toList();
		String requestedName = header(request, Headers.PROFILE);
		Either<QualifiedNames.UnresolvedName, String> name = requestedName.isEmpty() ? Either.right(accepted.get(0))
				: QualifiedNames.resolve(requestedName, fleet, accepted, ErrorKind.UNKNOWN_PROFILE);
		if (name.isLeft()) {
			throw new RequestException(name.getLeft().kind(), name.getLeft().message());
		}
		Profile profile = this.index.state()
			.find(Profile.class, EntityKind.PROFILE, name.get())
			.getOrElseThrow(() -> new RequestException(ErrorKind.UNKNOWN_PROFILE,
					"profile \"" + name.get() + "\" is not configured"));
		return new ResolvedProfile(name.get(), profile);
	}

	private Organisation findOrganisation(String name) {
		return this.index.state().find(Organisation.class, EntityKind.ORGANISATION, name).get();
	}

	private static String qualifiedKey(String organisation, String key) {
		return key.isEmpty() ? "" : organisation + ":" + key;
	}

	private static long keyCreatedMillis(String key) throws RequestException {
		if (key.isEmpty()) {
			return 0;
		}
		return TimeOrderedId.createdMillis(key)
			.getOrElseThrow(() -> new RequestException(ErrorKind.BAD_IDEMPOTENCY_KEY, "the key is \"" + key + "\""));
	}

	private static long fingerprint(HttpRequest request, byte[] body) {
		byte[] requestLine = (request.getMethod() + " " + request.getPathAndQuery()).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(requestLine)[0] ^ MurmurHash3.hash128x64(body)[0];
	}

	private long deadlineMillis(HttpRequest request, Profile profile, long now) throws RequestException {
		String headerValue = header(request, Headers.DEADLINE);
		if (headerValue.isEmpty()) {
			return now + ((profile.deadlineMillis() > 0) ? profile.deadlineMillis() : this.defaultDeadlineMillis);
		}
		if (!headerValue.matches("\\d{1,9}") || Long.parseLong(headerValue) > MAX_DEADLINE_MILLIS
				|| Long.parseLong(headerValue) == 0) {
			throw new RequestException(ErrorKind.BAD_REQUEST,
					"X-Deadline-Ms is \"" + headerValue + "\"; valid: 1 to " + MAX_DEADLINE_MILLIS + " milliseconds");
		}
		return now + Long.parseLong(headerValue);
	}

	private static String header(HttpRequest request, HttpHeader name) {
		String value = request.getHeader(name);
		return (value != null) ? value : "";
	}

	private record ResolvedProfile(String name, Profile profile) {

	}

}
