package carawayswitch.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;

import carawayswitch.http.Json;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;
import carawayswitch.time.MonotonicClock;

/**
 * Stands in for a platform's store: keyed topics of one partition with reads, long polls
 * and appends, and faults. Its public methods may be called by any thread; the rest is
 * confined to the thread of its event loop.
 *
 * <pre>
 * PlatformStandIn store = PlatformStandIn.start();
 * store.put("keyed.op", "config", configuration);
 * store.fault(PlatformStandIn.Fault.SILENT);
 * </pre>
 */
public final class PlatformStandIn implements ServerConnection.Handler {

	private static final RequestLimits LIMITS = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 60_000, 600_000);

	private static final long POLL_MILLIS = 5;

	private static final int OK = 200;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final Map<String, Integer> firstOffsets = new HashMap<>();

	private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);

	private final AtomicLong calls = new AtomicLong();

	private final Map<String, Set<Object>> readers = new HashMap<>();

	private InetSocketAddress address;

	private PlatformStandIn(Eventloop loop) {
		this.loop = loop;
	}

	/**
	 * Starts a store on a loopback port that the system chooses.
	 * @return the store
	 * @throws IOException if no port can be bound
	 */
	public static PlatformStandIn start() throws IOException {
		Eventloop loop = Eventloop.builder().withTimeProvider(MonotonicClock::millis).build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, "platform-stand-in");
		thread.setDaemon(true);
		thread.start();
		PlatformStandIn store = new PlatformStandIn(loop);
		try {
			loop.submit(store::listen).join();
		}
		catch (CompletionException ex) {
			throw new IOException(ex.getCause());
		}
		return store;
	}

	private void listen() throws IOException {
		SimpleServer server = SimpleServer
			.builder(this.loop,
					(socket) -> new ServerConnection(socket, this, () -> LIMITS, MonotonicClock::millis).start())
			.withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.build();
		server.listen();
		this.address = server.getBoundAddresses().get(0);
	}

	/**
	 * Returns the address.
	 * @return the address that the store listens on
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Appends a record to a keyed topic.
	 * @param topic name of the topic
	 * @param key key of the record
	 * @param value value; empty removes the key
	 */
	public void put(String topic, String key, byte[] value) {
		this.loop.submit(() -> append(topic, key, value)).join();
	}

	private void append(String topic, String key, byte[] value) {
		this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(new Entry(key, value));
	}

	/**
	 * Makes the store misbehave.
	 * @param kind what it does from now on
	 */
	public void fault(Fault kind) {
		this.fault.set(kind);
	}

	/**
	 * Drops the records of a topic; the newest of each key can still be read.
	 * @param topic name of the topic
	 */
	public void dropHistory(String topic) {
		this.loop.submit(() -> this.firstOffsets.put(topic, entries(topic).size())).join();
	}

	/**
	 * Returns the number of calls so far.
	 * @return the number
	 */
	public long calls() {
		return this.calls.get();
	}

	/**
	 * Returns who has read a topic since {@link #forgetReaders}.
	 * @param topic name of the topic
	 * @return the connections, as opaque objects
	 */
	public Set<Object> readers(String topic) {
		CompletableFuture<Set<Object>> result = new CompletableFuture<>();
		this.loop.execute(() -> result.complete(Set.copyOf(this.readers.getOrDefault(topic, Set.of()))));
		return result.join();
	}

	/** Forgets who has read. */
	public void forgetReaders() {
		this.loop.submit(this.readers::clear).join();
	}

	/** Stops the store. */
	public void stop() {
		this.loop.execute(() -> {
			this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	private List<Entry> entries(String topic) {
		return this.topics.getOrDefault(topic, List.of());
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		this.calls.incrementAndGet();
		switch (this.fault.get()) {
			case SILENT -> {
				return;
			}
			case BUSY -> {
				connection.respond(UNAVAILABLE, new DefaultHttpHeaders(), new byte[0]);
				return;
			}
			case RESET -> {
				connection.close();
				return;
			}
			default -> {
			}
		}
		QueryStringDecoder query = new QueryStringDecoder(request.target());
		this.readers.computeIfAbsent(parameter(query, "topic", ""), (topic) -> new HashSet<>()).add(connection);
		switch (query.path()) {
			case "/log-newest" -> newest(connection, parameter(query, "topic", ""));
			case "/log-read" ->
				read(connection, parameter(query, "topic", ""), Integer.parseInt(parameter(query, "from", "0")),
						MonotonicClock.millis() + Long.parseLong(parameter(query, "wait-ms", "0")));
			case "/log-append" -> append(connection, parameter(query, "topic", ""), request.body());
			default -> connection.respond(NOT_FOUND, new DefaultHttpHeaders(), new byte[0]);
		}
	}

	private static String parameter(QueryStringDecoder query, String name, String fallback) {
		return query.parameters().getOrDefault(name, List.of(fallback)).get(0);
	}

	private void newest(ServerConnection connection, String topic) {
		Map<String, Integer> offsets = new LinkedHashMap<>();
		List<Entry> entries = entries(topic);
		for (int i = 0; i < entries.size(); i++) {
			offsets.put(entries.get(i).key(), i);
		}
		ObjectNode answer = Json.object();
		ArrayNode items = answer.putArray("items");
		offsets.forEach((key, offset) -> {
			byte[] value = entries.get(offset).value();
			if (value.length > 0) {
				items.addObject()
					.put("key", key)
					.put("value", Base64.getEncoder().encodeToString(value))
					.put("offset", offset);
			}
		});
		answer.put("has-more", false).put("end-offset", entries.size());
		connection.respond(OK, new DefaultHttpHeaders(), Json.bytes(answer));
	}

	private void read(ServerConnection connection, String topic, int from, long until) {
		List<Entry> entries = entries(topic);
		int first = this.firstOffsets.getOrDefault(topic, 0);
		if (from < first) {
			connection.respond(GONE, new DefaultHttpHeaders(), Json.bytes(Json.object().put("first-offset", first)));
			return;
		}
		if (entries.size() <= from && MonotonicClock.millis() < until) {
			this.loop.delay(POLL_MILLIS, () -> read(connection, topic, from, until));
			return;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		body.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(entries.size()).putLong(first).array());
		for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
			byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
			body.writeBytes(ByteBuffer.allocate(Integer.BYTES + 1 + key.length + entry.value().length)
				.putInt(1 + key.length + entry.value().length)
				.put((byte) key.length)
				.put(key)
				.put(entry.value())
				.array());
		}
		connection.respond(OK, new DefaultHttpHeaders(), body.toByteArray());
	}

	private void append(ServerConnection connection, String topic, byte[] body) {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			connection.respond(FORBIDDEN, new DefaultHttpHeaders(), new byte[0]);
			return;
		}
		int first = entries(topic).size();
		ByteBuffer records = ByteBuffer.wrap(body);
		while (records.hasRemaining()) {
			byte[] record = new byte[records.getInt()];
			records.get(record);
			int length = record[0];
			append(topic, new String(record, 1, length, StandardCharsets.UTF_8),
					Arrays.copyOfRange(record, 1 + length, record.length));
		}
		if (this.fault.get() == Fault.LOSE_ANSWERS) {
			return;
		}
		connection.respond(OK, new DefaultHttpHeaders(),
				Json.bytes(Json.object().put("offset", first).put("end-offset", entries(topic).size())));
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
	}

	@Override
	public void onClosed(ServerConnection connection) {
	}

	private record Entry(String key, byte[] value) {

	}

	/**
	 * What a store does instead of its work. Immutable.
	 */
	public enum Fault {

		/** Works as it should. */
		NONE,

		/** Answers nothing. */
		SILENT,

		/** Refuses every call. */
		BUSY,

		/** Closes the connection of every call. */
		RESET,

		/** Appends and answers nothing. */
		LOSE_ANSWERS

	}

}
