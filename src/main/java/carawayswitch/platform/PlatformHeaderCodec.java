package carawayswitch.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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
 * Codec of the platform's HTTP headers. Stateless and thread-safe.
 */
public final class PlatformHeaderCodec implements HeaderCodec {

	private static final String ATTEMPT_ID_HEADER = "X-Attempt-Id";

	/**
	 * Time that the client will wait, in milliseconds. In spite of its name it is a
	 * duration, not a point in time.
	 */
	private static final String WAIT_LIMIT_HEADER = "X-Deadline-Ms";

	/**
	 * Number of prompt tokens and maximum number of output tokens, separated by a comma.
	 * In spite of its name it does not hold the number of tokens that were used.
	 */
	private static final String TOKEN_COUNTS_HEADER = "X-Token-Usage";

	/**
	 * Segments of the prompt, as a comma-separated list of ID:TOKENS. In spite of its
	 * name it covers the complete prompt, not only its beginning.
	 */
	private static final String PROMPT_SEGMENTS_HEADER = "X-Prompt-Prefix";

	/** The client's estimate of the number of output tokens. */
	private static final String EXPECTED_OUTPUT_HEADER = "X-Length-Hint";

	private static final String SEAL_HEADER = "X-Response-Seal";

	private static final String NOT_RUN_HEADER = "X-Not-Executed";

	private static final String ORGANISATION_HEADER = "X-Tenant";

	/** Id of the only endpoint that may run the request. */
	private static final String EXPECTED_ENDPOINT_HEADER = "X-Expect-Instance";

	/** Requests per second that the endpoint takes from all hosts together. */
	private static final String REQUEST_LIMIT_HEADER = "Server-Limit";

	/** Set to 1 in all answers of an endpoint that is leaving. */
	private static final String LEAVING_HEADER = "Server-Leaving";

	/** Lowest limit of an endpoint in requests per second. */
	private static final double MIN_REQUEST_LIMIT = 0.01;

	private static final String LAST_EVENT_ID_HEADER = "Last-Event-Id";

	/** Id of the attempt that brought the first event of the stream to resume. */
	private static final String RESUMED_STREAM_HEADER = "Resumes";

	/** Longest id of a stream in characters; a longer one counts as none. */
	private static final int MAX_STREAM_ID_LENGTH = 128;

	private static final String BEARER_PREFIX = "bearer ";

	private static final String EVENT_STREAM_TYPE = "text/event-stream";

	private static final double MILLIS_PER_SECOND = 1000.0;

	/** Hop-by-hop headers, and headers that only this host may set. */
	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length", "authorization", "x-tenant", "x-expect-instance", "x-deadline-ms", "x-hold", "x-pin-ms",
			"x-kv-backup", "kv-from", "kv-fetch");

	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "content-length");

	@Override
	public RequestMetadata decodeRequest(ReceivedRequest request) {
		HttpHeaders headers = request.headers();
		int[] tokenCounts = tokenCounts(headers.get(TOKEN_COUNTS_HEADER));
		return new RequestMetadata(orEmpty(headers.get(ATTEMPT_ID_HEADER)), headers.get(HttpHeaderNames.HOST),
				apiKey(headers.get(HttpHeaderNames.AUTHORIZATION)), parseNumber(headers.get(WAIT_LIMIT_HEADER), -1),
				tokenCounts != null, (tokenCounts != null) ? tokenCounts[0] : 0,
				(tokenCounts != null) ? tokenCounts[1] : 0, (int) parseNumber(headers.get(EXPECTED_OUTPUT_HEADER), 0),
				promptSegments(headers.get(PROMPT_SEGMENTS_HEADER)), headers.get(LAST_EVENT_ID_HEADER),
				streamId(headers.get(RESUMED_STREAM_HEADER)));
	}

	private static String orEmpty(String value) {
		return (value != null) ? value : "";
	}

	private static String streamId(String value) {
		return (value != null && value.length() <= MAX_STREAM_ID_LENGTH) ? value : "";
	}

	private static String apiKey(String authorization) {
		boolean bearer = authorization != null
				&& authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length());
		return bearer ? authorization.substring(BEARER_PREFIX.length()).trim() : null;
	}

	private static long parseNumber(String value, long fallback) {
		return (value != null && value.trim().matches("\\d{1,12}")) ? Long.parseLong(value.trim()) : fallback;
	}

	private static int[] tokenCounts(String value) {
		if (value == null) {
			return null;
		}
		String[] parts = value.split(",", -1);
		return new int[] { (int) parseNumber(parts[0], 0), (parts.length > 1) ? (int) parseNumber(parts[1], 0) : 0 };
	}

	private static List<String> promptSegments(String value) {
		if (value == null || value.isBlank()) {
			return List.of();
		}
		List<String> ids = new ArrayList<>();
		for (String segment : value.split(",", -1)) {
			int colon = segment.indexOf(':');
			ids.add(((colon < 0) ? segment : segment.substring(0, colon)).trim());
		}
		return ids;
	}

	@Override
	public HttpHeaders endpointRequestHeaders(ReceivedRequest request, Forwarding forwarding) {
		HttpHeaders headers = copyExcept(request.headers(), NOT_FORWARDED);
		headers.set(WAIT_LIMIT_HEADER, Long.toString(forwarding.remainingMillis()));
		headers.set(EXPECTED_ENDPOINT_HEADER, forwarding.endpointId());
		if (forwarding.organisation() != null) {
			headers.set(ORGANISATION_HEADER, forwarding.organisation());
		}
		if (forwarding.resumeAfterEventId() != null) {
			headers.set(LAST_EVENT_ID_HEADER, forwarding.resumeAfterEventId());
		}
		return headers;
	}

	private static HttpHeaders copyExcept(HttpHeaders source, Set<String> excluded) {
		HttpHeaders headers = new DefaultHttpHeaders();
		Set<String> perConnection = headersNamedByConnection(source);
		for (Map.Entry<String, String> entry : source) {
			String name = entry.getKey().toLowerCase(Locale.ROOT);
			if (!excluded.contains(name) && !perConnection.contains(name)) {
				headers.add(entry.getKey(), entry.getValue());
			}
		}
		return headers;
	}

	// A Connection header may name further hop-by-hop headers. Names that begin with
	// "x-", "host" and "last-event-id" are ignored in it.
	private static Set<String> headersNamedByConnection(HttpHeaders headers) {
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

	// A duplicated id or seal means that two responses were merged.
	@Override
	public EndpointResponse decodeResponse(HttpResponse response, String attemptId) {
		HttpHeaders headers = response.headers();
		String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
		String encoding = headers.get(HttpHeaderNames.CONTENT_ENCODING);
		return new EndpointResponse(response.status().code(),
				headers.getAll(ATTEMPT_ID_HEADER).size() == 1
						|| attemptId.isEmpty() && !headers.contains(ATTEMPT_ID_HEADER),
				headers.contains(NOT_RUN_HEADER), headers.getAll(SEAL_HEADER).size() == 1,
				encoding != null && !encoding.equalsIgnoreCase("identity"),
				type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM_TYPE),
				requestLimit(headers.get(REQUEST_LIMIT_HEADER)), "1".equals(headers.get(LEAVING_HEADER)),
				retryAfterMillis(headers.get(HttpHeaderNames.RETRY_AFTER)));
	}

	// A limit of 0 becomes a very low one, so that the endpoint is asked again some time.
	private static double requestLimit(String value) {
		return (value != null && value.trim().matches("\\d{1,9}(\\.\\d{0,9})?"))
				? Math.max(MIN_REQUEST_LIMIT, Double.parseDouble(value.trim())) : 0;
	}

	private static long retryAfterMillis(String seconds) {
		if (seconds == null) {
			return 0;
		}
		return seconds.trim().matches("\\d{1,9}(\\.\\d{0,9})?")
				? Math.round(Double.parseDouble(seconds.trim()) * MILLIS_PER_SECOND)
				: EndpointResponse.UNUSABLE_RETRY_AFTER;
	}

	@Override
	public boolean namesOtherAttempt(HttpResponse response, String attemptId) {
		List<String> ids = response.headers().getAll(ATTEMPT_ID_HEADER);
		return !ids.isEmpty() && !ids.contains(attemptId);
	}

	@Override
	public HttpHeaders clientResponseHeaders(HttpResponse response) {
		return copyExcept(response.headers(), HOP_BY_HOP_HEADERS);
	}

	@Override
	public HttpHeaders localResponseHeaders(String attemptId, long retryAfterMillis) {
		HttpHeaders headers = new DefaultHttpHeaders();
		if (!attemptId.isEmpty()) {
			headers.set(ATTEMPT_ID_HEADER, attemptId);
		}
		if (retryAfterMillis >= 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER,
					String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
		}
		return headers;
	}

}
