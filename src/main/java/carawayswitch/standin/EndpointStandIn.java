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
	public static final int EVENTS = 5;

	private static final RequestLimits LIMITS = new RequestLimits(64 * 1024, 8 * 1024 * 1024, 60_000, 600_000);

	private static final int SLOTS = 4;

	private static final int OK = 200;

	private static final int MISDIRECTED = 421;

	private static final int ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final String id;

	private final String service;

	private final AtomicReference<Manner> manner = new AtomicReference<>(Manner.NORMAL);

	private final List<Map.Entry<String, HttpHeaders>> runs = new CopyOnWriteArrayList<>();

	private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();

	private volatile long eventMillis = 5;

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
			this.open.add(connection);
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
	public byte[] entry(String state) {
		return entry(state, this.address);
	}

	/**
	 * Returns the entry of an endpoint that is reached at another address.
	 * @param state {@code ready} or {@code draining}
	 * @param reachedAt the address
	 * @return the entry
	 */
	public byte[] entry(String state, InetSocketAddress reachedAt) {
		ObjectNode entry = Json.object()
			.put("service", this.service)
			.put("address", reachedAt.getHostString() + ":" + reachedAt.getPort())
			.put("zone", "a")
			.put("version", "v1")
			.put("slots", SLOTS)
			.put("state", state)
			.put("cold-remaining-ms", 0)
			.put("sequence", 1)
			.put("born", 1);
		return Json.bytes(entry);
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
	 * @param newManner the manner from now on
	 */
	public void manner(Manner newManner) {
		this.manner.set(newManner);
	}

	/**
	 * Changes the pause between the events of a stream.
	 * @param millis the pause in milliseconds
	 */
	public void eventMillis(long millis) {
		this.eventMillis = millis;
	}

	/**
	 * Returns the requests that have run, with their headers.
	 * @return attempt ids and headers, oldest first
	 */
	public List<Map.Entry<String, HttpHeaders>> runs() {
		return this.runs;
	}

	/**
	 * Returns the number of connections that are open.
	 * @return the number
	 */
	public int openConnections() {
		return this.open.size();
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
		String attempt = request.headers().get("X-Attempt-Id", "");
		HttpHeaders headers = new DefaultHttpHeaders().set("X-Attempt-Id", attempt).set("X-Instance-Id", this.id);
		if (!this.id.equals(request.headers().get("X-Expect-Instance"))) {
			connection.respond(MISDIRECTED, headers, new byte[0]);
			return;
		}
		Manner current = this.manner.get();
		if (current == Manner.SHED) {
			connection.respond(UNAVAILABLE, headers.set("X-Not-Executed", "1"), new byte[0]);
			return;
		}
		this.runs.add(Map.entry(attempt, request.headers()));
		if (current == Manner.SILENT) {
			return;
		}
		if (current == Manner.UNSEALED) {
			connection.respond(OK, headers, bytes("unsealed"));
			return;
		}
		headers.set("X-Response-Seal", "seal-" + this.id + "-" + attempt);
		if (current == Manner.ERROR) {
			connection.respond(ERROR, headers, bytes("failed"));
		}
		else if (request.headers().contains("X-Token-Usage")) {
			headers.set("Content-Type", "text/event-stream");
			connection.beginChunked(OK, headers);
			int last = Integer.parseInt(request.headers().get("Last-Event-Id", "0"));
			stream(connection, last + 1, (current == Manner.BREAK) ? last + 2 : Integer.MAX_VALUE);
		}
		else {
			connection.respond(OK, headers, bytes("answer of " + this.id));
		}
	}

	private void stream(ServerConnection connection, int next, int breakAt) {
		if (!this.open.contains(connection)) {
			return;
		}
		if (next > EVENTS) {
			connection.endChunked();
		}
		else if (next > breakAt) {
			connection.writeChunk(bytes("id: " + next + "\nda"));
			this.loop.delay(this.eventMillis, connection::close);
		}
		else {
			connection.writeChunk(bytes("id: " + next + "\ndata: token" + next + "\n\n"));
			this.loop.delay(this.eventMillis, () -> stream(connection, next + 1, breakAt));
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
		this.open.remove(connection);
	}

	/**
	 * How an endpoint answers. Immutable.
	 */
	public enum Manner {

		/** As it should. */
		NORMAL,

		/** Refuses and states that it did not run the request. */
		SHED,

		/** Runs and answers nothing. */
		SILENT,

		/** Runs and answers with a failure. */
		ERROR,

		/** Runs and answers without its seal. */
		UNSEALED,

		/** Breaks a stream off inside its third event. */
		BREAK

	}

}
