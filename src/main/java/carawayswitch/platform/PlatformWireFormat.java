package carawayswitch.platform;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.gateway.EndpointResponse;
import carawayswitch.gateway.HeaderCodec;
import carawayswitch.gateway.RequestMetadata;
import carawayswitch.http.ReceivedRequest;

/**
 * Header names of the platform. Stateless and safe for use by several threads.
 */
public final class PlatformWireFormat implements HeaderCodec {

	private static final String ATTEMPT_ID = "X-Attempt-Id";

	/** The time a client will wait, in milliseconds; not a point in time. */
	private static final String DEADLINE = "X-Deadline-Ms";

	/**
	 * Tokens of the prompt and the largest number of output tokens; not what was used.
	 */
	private static final String TOKENS = "X-Token-Usage";

	/** Parts of the whole prompt, not of its beginning only. */
	private static final String PROMPT_PARTS = "X-Prompt-Prefix";

	private static final String LENGTH_HINT = "X-Length-Hint";

	private static final String SEAL = "X-Response-Seal";

	private static final String NOT_RUN = "X-Not-Executed";

	private static final String ORGANISATION = "X-Tenant";

	private static final String EXPECTED_ENDPOINT = "X-Expect-Instance";

	private static final String RESUME_AFTER = "Last-Event-Id";

	private static final String BEARER = "bearer ";

	private static final String EVENT_STREAM = "text/event-stream";

	private static final double MILLIS = 1000.0;

	/** Headers that concern one connection, and those that only this host may set. */
	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length", "authorization", "x-tenant", "x-expect-instance", "x-deadline-ms", "x-hold", "x-pin-ms",
			"x-kv-backup", "kv-from", "kv-fetch");

	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "content-length");

	@Override
	public RequestMetadata decodeRequest(ReceivedRequest request) {
		HttpHeaders headers = request.headers();
		int[] tokens = tokens(headers.get(TOKENS));
		String[] lastPart = lastPart(headers.get(PROMPT_PARTS));
		return new RequestMetadata(orEmpty(headers.get(ATTEMPT_ID)), headers.get(HttpHeaderNames.HOST),
				key(headers.get(HttpHeaderNames.AUTHORIZATION)), number(headers.get(DEADLINE), -1), tokens != null,
				(tokens != null) ? tokens[0] : 0, (tokens != null) ? tokens[1] : 0,
				(int) number(headers.get(LENGTH_HINT), 0), lastPart[0], (int) number(lastPart[1], 0));
	}

	private static String orEmpty(String value) {
		return (value != null) ? value : "";
	}

	private static String key(String authorization) {
		boolean bearer = authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
		return bearer ? authorization.substring(BEARER.length()).trim() : null;
	}

	private static long number(String value, long fallback) {
		return (value != null && value.trim().matches("\\d{1,12}")) ? Long.parseLong(value.trim()) : fallback;
	}

	private static int[] tokens(String value) {
		if (value == null) {
			return null;
		}
		String[] parts = value.split(",");
		return new int[] { (int) number(parts[0], 0), (parts.length > 1) ? (int) number(parts[1], 0) : 0 };
	}

	private static String[] lastPart(String value) {
		if (value == null || value.isEmpty()) {
			return new String[] { "", "" };
		}
		String last = value.substring(value.lastIndexOf(',') + 1).trim();
		int colon = last.indexOf(':');
		return (colon < 0) ? new String[] { last, "" }
				: new String[] { last.substring(0, colon), last.substring(colon + 1) };
	}

	@Override
	public HttpHeaders endpointRequestHeaders(ReceivedRequest request, Forwarding forwarding) {
		HttpHeaders headers = copy(request.headers(), NOT_FORWARDED);
		headers.set(DEADLINE, Long.toString(forwarding.remainingMillis()));
		headers.set(EXPECTED_ENDPOINT, forwarding.endpointId());
		if (forwarding.organisation() != null) {
			headers.set(ORGANISATION, forwarding.organisation());
		}
		if (forwarding.resumeAfterEventId() != null) {
			headers.set(RESUME_AFTER, forwarding.resumeAfterEventId());
		}
		return headers;
	}

	private static HttpHeaders copy(HttpHeaders from, Set<String> without) {
		HttpHeaders headers = new DefaultHttpHeaders();
		Set<String> named = namedByConnection(from);
		for (Map.Entry<String, String> entry : from) {
			String name = entry.getKey().toLowerCase(Locale.ROOT);
			if (!without.contains(name) && !named.contains(name)) {
				headers.add(entry.getKey(), entry.getValue());
			}
		}
		return headers;
	}

	// A Connection header may name further headers that concern one connection only.
	private static Set<String> namedByConnection(HttpHeaders headers) {
		String value = headers.get(HttpHeaderNames.CONNECTION);
		if (value == null || value.equalsIgnoreCase("close") || value.equalsIgnoreCase("keep-alive")) {
			return Set.of();
		}
		Set<String> names = new HashSet<>();
		for (String name : value.split(",")) {
			String lower = name.trim().toLowerCase(Locale.ROOT);
			if (!lower.startsWith("x-") && !lower.equals("host") && !lower.equals("last-event-id")) {
				names.add(lower);
			}
		}
		return names;
	}

	@Override
	public EndpointResponse decodeResponse(HttpResponse response) {
		HttpHeaders headers = response.headers();
		String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
		String encoding = headers.get(HttpHeaderNames.CONTENT_ENCODING);
		return new EndpointResponse(response.status().code(), headers.contains(NOT_RUN), headers.contains(SEAL),
				encoding != null && !encoding.equalsIgnoreCase("identity"),
				type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM));
	}

	@Override
	public boolean namesOtherAttempt(HttpResponse response, String attemptId) {
		String id = response.headers().get(ATTEMPT_ID);
		return id != null && !id.equals(attemptId);
	}

	@Override
	public HttpHeaders clientResponseHeaders(HttpResponse response) {
		return copy(response.headers(), CONNECTION_HEADERS);
	}

	@Override
	public HttpHeaders localResponseHeaders(String attemptId, long retryAfterMillis) {
		HttpHeaders headers = new DefaultHttpHeaders();
		if (!attemptId.isEmpty()) {
			headers.set(ATTEMPT_ID, attemptId);
		}
		if (retryAfterMillis >= 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS));
		}
		return headers;
	}

}
