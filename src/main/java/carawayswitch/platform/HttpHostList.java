package carawayswitch.platform;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.promise.Promise;
import io.activej.promise.Promises;

import carawayswitch.http.Json;
import carawayswitch.http.OutboundHttpClient;
import carawayswitch.message.Member;

/**
 * HTTP client of the platform's host list. Confined to the thread of its event loop.
 */
public final class HttpHostList implements HostList {

	private final OutboundHttpClient caller;

	private final String url;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param caller client that sends the requests
	 * @param url address of the list
	 * @param timeout time limit of one call
	 */
	public HttpHostList(OutboundHttpClient caller, URI url, Duration timeout) {
		this.caller = caller;
		this.url = url.toString();
		this.timeout = timeout;
	}

	@Override
	public Promise<List<Member>> read() {
		Promise<List<Member>> answer = this.caller.call(this.url, "GET", "", new byte[0]).map((response) -> {
			JsonNode tree = Json.parse(response.body())
				.getOrElseThrow(() -> new PlatformException("host list is not valid JSON"));
			return members(tree);
		});
		return Promises.timeout(this.timeout, answer);
	}

	private static List<Member> members(JsonNode tree) throws PlatformException {
		if (!tree.path("hosts").isArray()) {
			throw new PlatformException("host list: \"hosts\" is missing or not an array");
		}
		List<Member> members = new ArrayList<>();
		for (JsonNode host : tree.get("hosts")) {
			members.add(new Member(host.path("id").asText(), 0, 0, host.path("zone").asText(),
					host.path("region").asText(), host.path("address").asText(), host.path("leaving").asBoolean(), -1));
		}
		return members;
	}

}
