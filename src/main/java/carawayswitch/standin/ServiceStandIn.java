package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

import carawayswitch.http.Json;

/**
 * Stand-in for a plain service. It echoes the request in its response and counts the
 * executions of each idempotency key, but does not deduplicate or reject any.
 * Thread-safe.
 */
public final class ServiceStandIn {

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final HttpHeader IDEMPOTENCY_KEY_HEADER = HttpHeaders.of("Idempotency-Key");

	private final String name;

	private final ConcurrentMap<String, AtomicInteger> executions = new ConcurrentHashMap<>();

	private final AtomicInteger totalExecutions = new AtomicInteger();

	private StandInServer server;

	private volatile long latencyMillis;

	private volatile boolean truncateResponses;

	private ServiceStandIn(String name, long latencyMillis) {
		this.name = name;
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Starts a stand-in.
	 * @param name name that appears in responses
	 * @param address address to listen on; port 0 selects an ephemeral port
	 * @param latencyMillis time from a request to its response in milliseconds
	 * @return the running stand-in
	 * @throws IOException if the address cannot be bound
	 */
	public static ServiceStandIn start(String name, InetSocketAddress address, long latencyMillis) throws IOException {
		ServiceStandIn standIn = new ServiceStandIn(name, latencyMillis);
		standIn.server = StandInServer.start(name, address, (loop) -> (request) -> standIn.serve(loop, request));
		return standIn;
	}

	private Promise<HttpResponse> serve(Eventloop loop, HttpRequest request) {
		if (request.getPath().equals("/executions")) {
			ObjectNode counts = Json.object();
			this.executions.forEach((key, count) -> counts.put(key, count.get()));
			return StandInServer.json(200, Json.bytes(counts));
		}
		return request.loadBody(MAX_BODY_BYTES).then((body) -> {
			int executionNumber = this.totalExecutions.incrementAndGet();
			String key = request.getHeader(IDEMPOTENCY_KEY_HEADER);
			if (key != null) {
				this.executions.computeIfAbsent(key, (name) -> new AtomicInteger()).incrementAndGet();
			}
			ObjectNode response = Json.object()
				.put("service", this.name)
				.put("run", executionNumber)
				.put("path", request.getPathAndQuery())
				.put("echo", body.getString(java.nio.charset.StandardCharsets.UTF_8));
			if (this.truncateResponses) {
				return StandInServer.delayed(loop, this.latencyMillis,
						Promise.of(truncatedResponse(Json.bytes(response))));
			}
			return StandInServer.delayed(loop, this.latencyMillis,
					Promise.of(StandInServer.named(HttpResponse.ok200(), request)
						.withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
						.withBody(Json.bytes(response))
						.build()));
		});
	}

	private static HttpResponse truncatedResponse(byte[] body) {
		ByteBuf firstHalf = ByteBuf.wrapForReading(Arrays.copyOf(body, body.length / 2));
		return HttpResponse.ok200()
			.withBodyStream(ChannelSuppliers.concat(ChannelSuppliers.ofValue(firstHalf),
					ChannelSuppliers.ofException(new IOException("response truncated by the stand-in"))))
			.build();
	}

	/**
	 * Sets the time from a request to its response.
	 * @param millis time in milliseconds
	 */
	public void latencyMillis(long millis) {
		this.latencyMillis = millis;
	}

	/**
	 * Makes the service execute requests but end each response after half of its body.
	 * @param value true to truncate responses
	 */
	public void truncateResponses(boolean value) {
		this.truncateResponses = value;
	}

	/**
	 * Returns the number of executed requests with the given idempotency key.
	 * @param key the idempotency key
	 * @return number of executions
	 */
	public int executions(String key) {
		AtomicInteger count = this.executions.get(key);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Returns the number of requests that were executed.
	 * @return number of executions
	 */
	public int totalExecutions() {
		return this.totalExecutions.get();
	}

	/**
	 * Returns the base URL of the service.
	 * @return the URL
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Closes the listener and all connections at once, as after a crash.
	 */
	public void stop() {
		this.server.stop();
	}

}
