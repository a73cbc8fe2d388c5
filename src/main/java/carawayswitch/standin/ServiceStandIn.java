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
 * Stand-in for a plain service. It repeats the request in its answer and counts how often
 * each key was run; it refuses nothing. Safe for use by several threads.
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
	 * @param name name that appears in answers
	 * @param address address of the listener; port 0 lets the system choose one
	 * @param latencyMillis time in milliseconds until an answer
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
			return StandInServer.delayed(loop, this.latencyMillis, StandInServer.json(200, Json.bytes(response)));
		});
	}

	private static HttpResponse truncatedResponse(byte[] body) {
		ByteBuf firstHalf = ByteBuf.wrapForReading(Arrays.copyOf(body, body.length / 2));
		return HttpResponse.ok200()
			.withBodyStream(ChannelSuppliers.concat(ChannelSuppliers.ofValue(firstHalf),
					ChannelSuppliers.ofException(new IOException("the stand-in breaks its answers"))))
			.build();
	}

	/**
	 * Sets the time until an answer.
	 * @param millis time in milliseconds
	 */
	public void latencyMillis(long millis) {
		this.latencyMillis = millis;
	}

	/**
	 * Makes the service run requests and break its answers off.
	 * @param value true to break answers off
	 */
	public void truncateResponses(boolean value) {
		this.truncateResponses = value;
	}

	/**
	 * Returns how often a key was run.
	 * @param key the key
	 * @return number of runs
	 */
	public int executions(String key) {
		AtomicInteger count = this.executions.get(key);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Returns the number of requests that were run.
	 * @return number of runs
	 */
	public int totalExecutions() {
		return this.totalExecutions.get();
	}

	/**
	 * Returns the base URL.
	 * @return the URL
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Stops the stand-in, as a crash would.
	 */
	public void stop() {
		this.server.stop();
	}

}
