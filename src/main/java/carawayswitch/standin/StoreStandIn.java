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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;

import carawayswitch.http.Json;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;
import carawayswitch.time.MonotonicClock;

/**
 * Stand-in for the platform's store: keyed topics of one partition with reads, long polls
 * and appends, switchable faults, and restores from an older copy. Public methods are
 * thread-safe; all other code runs on the thread of the event loop.
 *
 * <pre>
 * StoreStandIn store = StoreStandIn.start();
 * store.put("keyed.op", "config", configuration);
 * store.fault(StoreStandIn.Fault.HANG);
 * </pre>
 */
public final class StoreStandIn implements ServerConnection.Handler {

	private static final RequestLimits LIMITS = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 60_000, 600_000);

	private static final long POLL_INTERVAL_MILLIS = 5;

	/** Largest number of bytes of records in the answer to a read. */
	private static final int DEFAULT_PAGE_BYTES = 1024 * 1024;

	private static final int READ_HEADER_BYTES = 2 * Long.BYTES;

	private static final int OK = 200;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int PRECONDITION_FAILED = 412;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final Map<String, List<TopicRecord>> topics = new HashMap<>();

	private final Map<String, Integer> firstOffsets = new HashMap<>();

	/** Epoch of the store; rises with each restore. */
	private long epoch = 1;

	private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);

	private final AtomicLong callCount = new AtomicLong();

	private final Map<String, Set<Object>> topicReaders = new HashMap<>();

	private volatile long appendMillis;

	private volatile int pageBytes = DEFAULT_PAGE_BYTES;

	private InetSocketAddress address;

	private StoreStandIn(Eventloop loop) {
		this.loop = loop;
	}

	/**
	 * Starts a store on an ephemeral loopback port.
	 * @return the store
	 * @throws IOException if no port can be bound
	 */
	public static StoreStandIn start() throws IOException {
		Eventloop loop = Eventloop.builder().withTimeProvider(MonotonicClock::millis).build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, "platform-stand-in");
		thread.setDaemon(true);
		thread.start();
		StoreStandIn store = new StoreStandIn(loop);
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
	 * Returns the address that the store listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Appends a record to a keyed topic without an HTTP call, whatever the fault.
	 * @param topic name of the topic
	 * @param key key of the record
	 * @param value value of the record; an empty value deletes the key
	 */
	public void put(String topic, String key, byte[] value) {
		this.loop.submit(() -> append(topic, key, value)).join();
	}

	private void append(String topic, String key, byte[] value) {
		this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(new TopicRecord(key, value));
	}

	/**
	 * Sets the fault of subsequent calls.
	 * @param newFault the new fault, or {@link Fault#NONE}
	 */
	public void fault(Fault newFault) {
		this.fault.set(newFault);
	}

	/**
	 * Answers no calls for some time, and then all that have arrived.
	 * @param millis time in milliseconds
	 */
	public void pause(long millis) {
		this.loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
	}

	/**
	 * Delays appends by HTTP calls.
	 * @param millis time from the arrival of a call to its append in milliseconds
	 */
	public void appendMillis(long millis) {
		this.appendMillis = millis;
	}

	/**
	 * Limits the answers to reads from an offset on.
	 * @param bytes number of bytes of records after which an answer ends
	 */
	public void pageBytes(int bytes) {
		this.pageBytes = bytes;
	}

	/**
	 * Drops the records of a topic from reads by offset; the newest record of each key
	 * can still be read.
	 * @param topic name of the topic
	 */
	public void dropHistory(String topic) {
		this.loop.submit(() -> this.firstOffsets.put(topic, records(topic).size())).join();
	}

	/**
	 * Returns a copy of all records, from which the store can be restored.
	 * @return the copy
	 */
	public Copy copy() {
		return call(() -> {
			Map<String, List<TopicRecord>> copied = new HashMap<>();
			this.topics.forEach((topic, records) -> copied.put(topic, List.copyOf(records)));
			return new Copy(copied);
		});
	}

	private <T> T call(Supplier<T> supplier) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> result.complete(supplier.get()));
		return result.join();
	}

	/**
	 * Restores the store from a copy. All records that were appended since the copy are
	 * lost, their offsets are given out again, and the epoch rises by one.
	 * @param copy the copy
	 */
	public void restore(Copy copy) {
		this.loop.submit(() -> {
			this.topics.clear();
			copy.topics.forEach((topic, records) -> this.topics.put(topic, new ArrayList<>(records)));
			this.firstOffsets.replaceAll((topic, offset) -> Math.min(offset, records(topic).size()));
			this.epoch++;
		}).join();
	}

	/**
	 * Returns the newest value of a key.
	 * @param topic name of the topic
	 * @param key key of the record
	 * @return the value, or an empty array if the key does not exist or was removed
	 */
	public byte[] newest(String topic, String key) {
		return call(() -> {
			byte[] value = new byte[0];
			for (TopicRecord record : records(topic)) {
				value = record.key().equals(key) ? record.value() : value;
			}
			return value;
		});
	}

	/**
	 * Returns the number of HTTP calls received since the start.
	 * @return the number
	 */
	public long callCount() {
		return this.callCount.get();
	}

	/**
	 * Returns the connections that have called the store for a topic since the last
	 * {@link #clearTopicReaders}.
	 * @param topic name of the topic
	 * @return the connections, as opaque objects
	 */
	public Set<Object> topicReaders(String topic) {
		return call(() -> Set.copyOf(this.topicReaders.getOrDefault(topic, Set.of())));
	}

	/** Clears the recorded connections of all topics. */
	public void clearTopicReaders() {
		this.loop.submit(this.topicReaders::clear).join();
	}

	/** Closes the listener and all connections at once. */
	public void stop() {
		this.loop.execute(() -> {
			this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	private List<TopicRecord> records(String topic) {
		return this.topics.getOrDefault(topic, List.of());
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		this.callCount.incrementAndGet();
		switch (this.fault.get()) {
			case HANG -> {
				return;
			}
			case UNAVAILABLE -> {
				connection.respond(UNAVAILABLE, headers(), new byte[0]);
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
		this.topicReaders.computeIfAbsent(parameter(query, "topic", ""), (topic) -> new HashSet<>()).add(connection);
		switch (query.path()) {
			case "/log-newest" -> respondNewest(connection, parameter(query, "topic", ""));
			case "/log-read" ->
				respondRead(connection, parameter(query, "topic", ""), Integer.parseInt(parameter(query, "from", "0")),
						MonotonicClock.millis() + Long.parseLong(parameter(query, "wait-ms", "0")));
			case "/log-append" -> {
				long millis = this.appendMillis;
				if (millis > 0) {
					this.loop.delay(millis, () -> respondAppend(connection, query, request.body()));
				}
				else {
					respondAppend(connection, query, request.body());
				}
			}
			default -> connection.respond(NOT_FOUND, headers(), new byte[0]);
		}
	}

	private HttpHeaders headers() {
		return new DefaultHttpHeaders().set("Store-Era", this.epoch);
	}

	private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
		return query.parameters().getOrDefault(name, List.of(defaultValue)).get(0);
	}

	private void respondNewest(ServerConnection connection, String topic) {
		Map<String, Integer> newestOffsets = new LinkedHashMap<>();
		List<TopicRecord> records = records(topic);
		for (int i = 0; i < records.size(); i++) {
			newestOffsets.put(records.get(i).key(), i);
		}
		ObjectNode response = Json.object();
		ArrayNode items = response.putArray("items");
		newestOffsets.forEach((key, offset) -> {
			byte[] value = records.get(offset).value();
			if (value.length > 0) {
				items.addObject()
					.put("key", key)
					.put("value", Base64.getEncoder().encodeToString(value))
					.put("offset", offset);
			}
		});
		response.put("has-more", false).put("end-offset", records.size());
		connection.respond(OK, headers(), Json.bytes(response));
	}

	private void respondRead(ServerConnection connection, String topic, int fromOffset, long deadlineMillis) {
		List<TopicRecord> records = records(topic);
		int firstOffset = this.firstOffsets.getOrDefault(topic, 0);
		if (fromOffset < firstOffset || fromOffset > records.size()) {
			connection.respond(GONE, headers(), Json.bytes(Json.object().put("first-offset", firstOffset)));
			return;
		}
		if (records.size() <= fromOffset && MonotonicClock.millis() < deadlineMillis) {
			this.loop.delay(POLL_INTERVAL_MILLIS, () -> respondRead(connection, topic, fromOffset, deadlineMillis));
			return;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		body.writeBytes(ByteBuffer.allocate(READ_HEADER_BYTES).putLong(records.size()).putLong(firstOffset).array());
		for (TopicRecord record : records.subList(fromOffset, records.size())) {
			if (body.size() >= READ_HEADER_BYTES + this.pageBytes) {
				break;
			}
			byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
			body.writeBytes(ByteBuffer.allocate(Integer.BYTES + 1 + key.length + record.value().length)
				.putInt(1 + key.length + record.value().length)
				.put((byte) key.length)
				.put(key)
				.put(record.value())
				.array());
		}
		connection.respond(OK, headers(), body.toByteArray());
	}

	private void respondAppend(ServerConnection connection, QueryStringDecoder query, byte[] body) {
		String topic = parameter(query, "topic", "");
		int end = records(topic).size();
		if (Integer.parseInt(parameter(query, "at", Integer.toString(end))) == end) {
			append(connection, topic, body);
		}
		else {
			connection.respond(PRECONDITION_FAILED, headers(), Json.bytes(Json.object().put("end-offset", end)));
		}
	}

	private void append(ServerConnection connection, String topic, byte[] body) {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			connection.respond(FORBIDDEN, headers(), new byte[0]);
			return;
		}
		int firstOffset = records(topic).size();
		ByteBuffer records = ByteBuffer.wrap(body);
		while (records.hasRemaining()) {
			byte[] record = new byte[records.getInt()];
			records.get(record);
			int keyLength = record[0];
			append(topic, new String(record, 1, keyLength, StandardCharsets.UTF_8),
					Arrays.copyOfRange(record, 1 + keyLength, record.length));
		}
		if (this.fault.get() == Fault.LOSE_RESPONSES) {
			return;
		}
		connection.respond(OK, headers(),
				Json.bytes(Json.object().put("offset", firstOffset).put("end-offset", records(topic).size())));
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
	}

	@Override
	public void onClosed(ServerConnection connection) {
	}

	/**
	 * Copy of all records of a store. Immutable.
	 */
	public static final class Copy {

		private final Map<String, List<TopicRecord>> topics;

		private Copy(Map<String, List<TopicRecord>> topics) {
			this.topics = Map.copyOf(topics);
		}

	}

	private record TopicRecord(String key, byte[] value) {

	}

	/**
	 * Faults of the store.
	 */
	public enum Fault {

		/** Normal operation. */
		NONE,

		/** Accepts calls, but does not execute them and never responds. */
		HANG,

		/** Rejects every call with status 503. */
		UNAVAILABLE,

		/** Closes the connection on every call, without a response. */
		RESET,

		/** Appends records, but never responds to appends. */
		LOSE_RESPONSES

	}

}
