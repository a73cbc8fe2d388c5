package carawayswitch.platform;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.promise.Promise;
import io.activej.promise.Promises;

import carawayswitch.http.Json;
import carawayswitch.http.OutboundHttpClient;
import carawayswitch.message.LogRecord;

/**
 * HTTP client of the platform's log. Confined to the thread of its event loop.
 */
public final class HttpLogService implements LogService {

	private static final int HTTP_OK = 200;

	private final OutboundHttpClient caller;

	private final String baseUrl;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param caller client that sends the requests
	 * @param baseUrl base URL of the log service
	 * @param timeout time limit of one call
	 */
	public HttpLogService(OutboundHttpClient caller, URI baseUrl, Duration timeout) {
		this.caller = caller;
		this.baseUrl = baseUrl.toString();
		this.timeout = timeout;
	}

	@Override
	public Promise<Long> append(String stream, byte[] payload) {
		return call("POST", "/streams/" + stream, payload).map((tree) -> tree.get("offset").asLong());
	}

	@Override
	public Promise<Page> read(String stream, long fromOffset, int limit) {
		String query = "?from=" + Math.max(0, fromOffset) + "&limit=" + limit;
		return call("GET", "/streams/" + stream + query, new byte[0]).map(HttpLogService::page);
	}

	private Promise<JsonNode> call(String method, String path, byte[] body) {
		Promise<JsonNode> answer = this.caller.call(this.baseUrl, method, path, body).map((response) -> {
			if (response.status() != HTTP_OK) {
				throw new PlatformException(
						"log service answered with status " + response.status() + "; expected " + HTTP_OK);
			}
			return Json.parse(response.body())
				.getOrElseThrow(() -> new PlatformException("answer of the log service is not valid JSON"));
		});
		return Promises.timeout(this.timeout, answer);
	}

	private static Page page(JsonNode tree) {
		List<LogRecord> records = new ArrayList<>();
		for (JsonNode entry : tree.get("records")) {
			byte[] payload = Base64.getDecoder().decode(entry.get("payload").asText());
			records.add(new LogRecord(entry.get("offset").asLong(), payload));
		}
		return new Page(tree.get("first").asLong(), tree.get("next").asLong(), records);
	}

}
