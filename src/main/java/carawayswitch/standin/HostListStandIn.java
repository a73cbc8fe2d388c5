package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

import carawayswitch.http.Json;

/**
 * Stand-in for the platform's list of hosts. Changes show after a lag. Safe for use by
 * several threads.
 *
 * <pre>
 * GET    /hosts
 * PUT    /hosts/{id}   {"zone": ..., "region": ..., "address": ..., "leaving": false}
 * DELETE /hosts/{id}
 * </pre>
 */
public final class HostListStandIn {

	private static final int MAX_BODY_BYTES = 4096;

	private final Map<String, ObjectNode> hosts = new ConcurrentSkipListMap<>();

	private final long lagMillis;

	private StandInServer server;

	private volatile boolean unavailable;

	private HostListStandIn(long lagMillis) {
		this.lagMillis = lagMillis;
	}

	/**
	 * Starts a stand-in.
	 * @param address address of the listener; port 0 lets the system choose one
	 * @param lagMillis time in milliseconds until a change shows
	 * @return the running stand-in
	 * @throws IOException if the address cannot be bound
	 */
	public static HostListStandIn start(InetSocketAddress address, long lagMillis) throws IOException {
		HostListStandIn standIn = new HostListStandIn(lagMillis);
		standIn.server = StandInServer.start("hosts", address, (loop) -> standIn::serve);
		return standIn;
	}

	private Promise<HttpResponse> serve(HttpRequest request) {
		if (this.unavailable) {
			return StandInServer.json(503, new byte[0]);
		}
		if (request.getMethod() == HttpMethod.GET) {
			ObjectNode root = Json.object();
			ArrayNode list = root.putArray("hosts");
			this.hosts.forEach((id, host) -> list.add(host.deepCopy().put("id", id)));
			return StandInServer.json(200, Json.bytes(root));
		}
		String id = request.getPath().substring("/hosts/".length());
		if (request.getMethod() == HttpMethod.DELETE) {
			applyAfterLag(() -> this.hosts.remove(id));
			return StandInServer.json(200, Json.bytes(Json.object()));
		}
		return request.loadBody(MAX_BODY_BYTES).then((body) -> {
			JsonNode host = Json.parse(body.getArray()).getOrElse(Json.object());
			applyAfterLag(() -> this.hosts.put(id, (ObjectNode) host));
			return StandInServer.json(200, Json.bytes(Json.object()));
		});
	}

	private void applyAfterLag(Runnable change) {
		this.server.loop().delayBackground(this.lagMillis, change);
	}

	/**
	 * Adds or replaces a host at once.
	 * @param id id of the host
	 * @param zone availability zone
	 * @param region region
	 * @param address internal address
	 * @param leaving true if the host is leaving
	 */
	public void put(String id, String zone, String region, String address, boolean leaving) {
		this.hosts.put(id,
				Json.object().put("zone", zone).put("region", region).put("address", address).put("leaving", leaving));
	}

	/**
	 * Removes a host at once.
	 * @param id id of the host
	 */
	public void remove(String id) {
		this.hosts.remove(id);
	}

	/**
	 * Makes the list fail or work.
	 * @param value true to fail
	 */
	public void unavailable(boolean value) {
		this.unavailable = value;
	}

	/**
	 * Returns the URL of the list.
	 * @return the URL
	 */
	public String url() {
		return this.server.url() + "/hosts";
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

}
