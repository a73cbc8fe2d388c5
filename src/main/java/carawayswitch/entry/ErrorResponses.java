package carawayswitch.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;

import carawayswitch.http.Json;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Builds error responses and the error events of streams. Stateless.
 */
final class ErrorResponses {

	private static final long MILLIS_PER_SECOND = 1000;

	private ErrorResponses() {
	}

	static HttpResponse response(ErrorKind kind, Outcome outcome, String detail, long retryAfterMillis,
			String requestId, String host) {
		HttpResponse.Builder builder = HttpResponse.ofCode(kind.status())
			.withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
			.withHeader(Headers.REQUEST_ID, requestId)
			.withHeader(Headers.HOST, host)
			.withHeader(Headers.OUTCOME, outcome.label());
		if (kind.retryable()) {
			long seconds = Math.max(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
			builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
		}
		return builder.withBody(body(kind, outcome, detail, requestId)).build();
	}

	static byte[] body(ErrorKind kind, Outcome outcome, String detail, String requestId) {
		ObjectNode error = Json.object();
		error.put("kind", kind.label());
		error.put("message", detail.isEmpty() ? kind.message() : kind.message() + ": " + detail);
		error.put("outcome", outcome.label());
		error.put("retryable", kind.retryable());
		error.put("request_id", requestId);
		ObjectNode root = Json.object();
		root.set("error", error);
		return Json.bytes(root);
	}

	static byte[] event(ErrorKind kind, Outcome outcome, String detail, String requestId) {
		String json = new String(body(kind, outcome, detail, requestId), StandardCharsets.UTF_8);
		return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

}
