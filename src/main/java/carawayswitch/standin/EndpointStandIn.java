package carawayswitch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.Json;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;
import carawayswitch.time.MonotonicClock;

/**
 * Stands in for an endpoint of a platform: an engine that answers with a stream of events
 * where a request states tokens, a plain service otherwise. Notes what it runs. Its
 * public methods may be called by any thread; the rest is confined to the thread of its
 * event loop.
 */
public final class EndpointStandIn implements ServerConnection.Handler {

	/** Events of each stream. */
	public static final int EVENTS_PER_STREAM = 5;

	private static final RequestLimits LIMITS = new RequestLimits(64 * 1024, 8 * 1024 * 1024, 60_000, 600_000);

	private static final int SLOT_COUNT = 4;

	private static final int OK = 200;

	private static final int MISDIRECTED = 421;

	private static final int ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final String id;

	private final String service;

	private final AtomicReference<ResponseMode> responseMode = new AtomicReference<>(ResponseMode.NORMAL);

	private final List<Map.Entry<String, HttpHeaders>> executions = new CopyOnWriteArrayList<>();

	private final Set<ServerConnection> openConnections = ConcurrentHashMap.newKeySet();

	private volatile long eventIntervalMillis = 5;

	private InetSocketAddress address;

	private EndpointStandIn(Eventloop loop, String id, String service) {
		this.loop = loop;
		this.id = id;
		this.service = service;
	}

	/**
	 * Starts an endpoint on a loopback port that the system chooses.
	 * @param id id of the endpoint
	 * @param service name of its service
	 * @return the endpoint
	 * @throws IOException if no port can be bound
	 */
	public static EndpointStandIn start(String id, String service) throws IOException {
		Eventloop loop = Eventloop.builder().withTimeProvider(MonotonicClock::millis).build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, id);
		thread.setDaemon(true);
		thread.start();
		EndpointStandIn endpoint = new EndpointStandIn(loop, id, service);
		try {
			loop.submit(endpoint::listen).join();
		}
		catch (CompletionException ex) {
			throw new IOException(ex.getCause());
		}
		return endpoint;
	}

	private void listen() throws IOException {
		SimpleServer server = SimpleServer.builder(this.loop, (socket) -> {
			ServerConnection connection = new ServerConnection(socket, this, () -> LIMITS, MonotonicClock::millis);
			this.openConnections.add(connection);
			connection.start();
		}).withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).build();
		server.listen();
		this.address = server.getBoundAddresses().get(0);
	}

	/**
	 * Returns the entry that the endpoint registers of itself.
	 * @param state {@code ready} or {@code draining}
	 * @return the entry
	 */
	public byte[] registration(String state) {
		return registration(state, this.address);
	}

	/**
	 * Returns the entry of an endpoint that is reached at another address.
	 * @param state {@code ready} or {@code draining}
	 * @param advertisedAddress the address
	 * @return the entry
	 */
	public byte[] registration(String state, InetSocketAddress advertisedAddress) {
		ObjectNode registration = Json.object()
			.put("service", this.service)
			.put("address", advertisedAddress.getHostString() + ":" + advertisedAddress.getPort())
			.put("zone", "a")
			.put("version", "v1")
			.put("slots", SLOT_COUNT)
			.put("state", state)
			.put("cold-remaining-ms", 0)
			.put("sequence", 1)
			.put("born", 1);
		return Json.bytes(registration);
	}

	/**
	 * Returns the id.
	 * @return id of the endpoint
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns where the endpoint listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Changes how requests are answered.
	 * @param mode the manner from now on
	 */
	public void responseMode(ResponseMode mode) {
		this.responseMode.set(mode);
	}

	/**
	 * Changes the pause between the events of a stream.
	 * @param millis the pause in milliseconds
	 */
	public void eventIntervalMillis(long millis) {
		this.eventIntervalMillis = millis;
	}

	/**
	 * Returns the requests that have run, with their headers.
	 * @return attempt ids and headers, oldest first
	 */
	public List<Map.Entry<String, HttpHeaders>> executions() {
		return this.executions;
	}

	/**
	 * Returns the number of connections that are open.
	 * @return the number
	 */
	public int openConnections() {
		return this.openConnections.size();
	}

	/** Ends the endpoint as if its process were killed. */
	public void kill() {
		this.loop.execute(() -> {
			this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		String attemptId = request.headers().get("X-Attempt-Id", "");
		HttpHeaders headers = new DefaultHttpHeaders().set("X-Attempt-Id", attemptId).set("X-Instance-Id", this.id);
		if (!this.id.equals(request.headers().get("X-Expect-Instance"))) {
			connection.respond(MISDIRECTED, headers, new byte[0]);
			return;
		}
		ResponseMode mode = this.responseMode.get();
		if (mode == ResponseMode.SHED) {
			connection.respond(UNAVAILABLE, headers.set("X-Not-Executed", "1"), new byte[0]);
			return;
		}
		this.executions.add(Map.entry(attemptId, request.headers()));
		if (mode == ResponseMode.HANG) {
			return;
		}
		if (mode == ResponseMode.UNSEALED) {
			connection.respond(OK, headers, bytes("unsealed"));
			return;
		}
		headers.set("X-Response-Seal", "seal-" + this.id + "-" + attemptId);
		if (mode == ResponseMode.ERROR) {
			connection.respond(ERROR, headers, bytes("failed"));
		}
		else if (request.headers().contains("X-Token-Usage")) {
			headers.set("Content-Type", "text/event-stream");
			connection.beginChunked(OK, headers);
			int lastEventId = Integer.parseInt(request.headers().get("Last-Event-Id", "0"));
			stream(connection, lastEventId + 1, (mode == ResponseMode.TRUNCATE) ? lastEventId + 2 : Integer.MAX_VALUE);
		}
		else {
			connection.respond(OK, headers, bytes("answer of " + this.id));
		}
	}

	private void stream(ServerConnection connection, int nextEvent, int lastCompleteEvent) {
		if (!this.openConnections.contains(connection)) {
			return;
		}
		if (nextEvent > EVENTS_PER_STREAM) {
			connection.endChunked();
		}
		else if (nextEvent > lastCompleteEvent) {
			connection.writeChunk(bytes("id: " + nextEvent + "\nda"));
			this.loop.delay(this.eventIntervalMillis, connection::close);
		}
		else {
			connection.writeChunk(bytes("id: " + nextEvent + "\ndata: token" + nextEvent + "\n\n"));
			this.loop.delay(this.eventIntervalMillis, () -> stream(connection, nextEvent + 1, lastCompleteEvent));
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
	}

	@Override
	public void onClosed(ServerConnection connection) {
		this.openConnections.remove(connection);
	}

	/**
	 * How an endpoint answers. Immutable.
	 */
	public enum ResponseMode {

		/** As it should. */
		NORMAL,

		/** Refuses and states that it did not run the request. */
		SHED,

		/** Runs and answers nothing. */
		HANG,

		/** Runs and answers with a failure. */
		ERROR,

		/** Runs and answers without its seal. */
		UNSEALED,

		/** Breaks a stream off inside its third event. */
		TRUNCATE

	}

}
