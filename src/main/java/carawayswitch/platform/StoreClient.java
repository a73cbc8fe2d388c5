package carawayswitch.platform;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Try;

import carawayswitch.gateway.HostDirectory;
import carawayswitch.gateway.HostRecord;
import carawayswitch.gateway.Platform;
import carawayswitch.gateway.RecordSource;
import carawayswitch.http.ConnectionPool;
import carawayswitch.http.Json;
import carawayswitch.http.OutgoingRequest;
import carawayswitch.http.ResponseListener;
import carawayswitch.log.LogEvent;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.RouteTable;

/**
 * Client of the platform's store. Each call has a time limit, after which its connection
 * is closed, since the store answers nothing more on a connection that lost an answer.
 * Confined to the thread of its event loop.
 */
public final class StoreClient implements Platform, HostDirectory {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * Longest wait for an answer beyond the wait that a call asks for, in milliseconds.
	 */
	private static final long ANSWER_TIMEOUT_MILLIS = 1000;

	/** Kept connections may be idle for as long as hosts pause between two calls. */
	private static final long MAX_IDLE_MILLIS = 10_000;

	private static final int HTTP_OK = 200;

	private static final int HTTP_GONE = 410;

	private static final int MAX_PAGES = 200;

	private static final String CONFIGURATION_TOPIC = "keyed.op";

	private static final String CONFIGURATION_KEY = "config";

	private static final String ENDPOINT_TOPIC = "keyed.servers";

	/** Topic of our own records in spite of its name. */
	private static final String HOST_TOPIC = "keyed.status";

	private static final String HOST_KEY_PREFIX = "host/";

	private final NioReactor reactor;

	private final ConnectionPool pool;

	private final InetSocketAddress address;

	/**
	 * Creates a client.
	 * @param reactor the event loop
	 * @param pool connections
	 * @param address address of the store
	 */
	public StoreClient(NioReactor reactor, ConnectionPool pool, InetSocketAddress address) {
		this.reactor = reactor;
		this.pool = pool;
		this.address = address;
	}

	@Override
	public RecordSource<RouteTable> configurations() {
		return new TopicSource<>(CONFIGURATION_TOPIC, CONFIGURATION_KEY,
				(name, bytes) -> ConfigurationDecoder.decode(bytes));
	}

	@Override
	public HostDirectory directory() {
		return this;
	}

	@Override
	public RecordSource<EndpointEntry> endpoints() {
		return new TopicSource<>(ENDPOINT_TOPIC, "", EndpointDecoder::decode);
	}

	@Override
	public RecordSource<HostRecord> records() {
		return new TopicSource<>(HOST_TOPIC, HOST_KEY_PREFIX, (name, bytes) -> hostRecord(bytes));
	}

	private static Try<HostRecord> hostRecord(byte[] bytes) {
		return Json.parse(bytes)
			.map((tree) -> new HostRecord(tree.path("host").asText(), tree.path("address").asText(),
					tree.path("zone").asText(), tree.path("incarnation").asLong(), tree.path("capacity").asInt()));
	}

	@Override
	public Promise<Void> publish(HostRecord record) {
		ObjectNode value = Json.object()
			.put("host", record.host())
			.put("address", record.address())
			.put("zone", record.zone())
			.put("incarnation", record.incarnation())
			.put("capacity", record.capacity());
		return append(HOST_TOPIC, encodeRecord(HOST_KEY_PREFIX + record.host(), Json.bytes(value)));
	}

	@Override
	public Promise<Void> remove(String host) {
		return append(HOST_TOPIC, encodeRecord(HOST_KEY_PREFIX + host, new byte[0]));
	}

	// A record is its length, the length of the key in one byte, the key and the value.
	private static byte[] encodeRecord(String key, byte[] value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(Integer.BYTES + 1 + keyBytes.length + value.length)
			.putInt(1 + keyBytes.length + value.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(value)
			.array();
	}

	private Promise<Void> append(String topic, byte[] records) {
		return call("POST", "/log-append?topic=" + topic + "&part=0", records, 0).map((answer) -> {
			if (answer.status() != HTTP_OK) {
				throw new PlatformException("append answered with status " + answer.status());
			}
			return null;
		});
	}

	private Promise<StoreResponse> call(String method, String target, byte[] body, long waitMillis) {
		SettablePromise<StoreResponse> result = new SettablePromise<>();
		HttpHeaders headers = new DefaultHttpHeaders().set("Host",
				this.address.getHostString() + ":" + this.address.getPort());
		ConnectionPool.Call[] call = new ConnectionPool.Call[1];
		call[0] = this.pool.send(this.address, new OutgoingRequest(method, target, headers, body),
				new ConnectionPool.Options(CONNECT_TIMEOUT, MAX_IDLE_MILLIS), new ResponseCollector(result));
		this.reactor.delayBackground(waitMillis + ANSWER_TIMEOUT_MILLIS, () -> {
			if (!result.isComplete()) {
				call[0].cancel();
				result.setException(
						new PlatformException("no answer within " + (waitMillis + ANSWER_TIMEOUT_MILLIS) + " ms"));
			}
		});
		return result;
	}

	/**
	 * An answer of the store. Immutable.
	 */
	private record StoreResponse(int status, byte[] body) {

	}

	/**
	 * Collects one answer. Confined to the thread of the event loop.
	 */
	private static final class ResponseCollector implements ResponseListener {

		private final SettablePromise<StoreResponse> result;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		ResponseCollector(SettablePromise<StoreResponse> result) {
			this.result = result;
		}

		@Override
		public void onHead(HttpResponse response) {
			this.status = response.status().code();
		}

		@Override
		public void onBody(byte[] bytes) {
			this.body.writeBytes(bytes);
		}

		@Override
		public void onComplete() {
			this.result.trySet(new StoreResponse(this.status, this.body.toByteArray()));
		}

		@Override
		public void onFailure(String reason) {
			this.result.trySetException(new PlatformException(reason));
		}

		@Override
		public void onNotSent(String reason) {
			this.result.trySetException(new PlatformException(reason));
		}

	}

	/**
	 * Records of one keyed topic. Confined to the thread of the event loop.
	 *
	 * @param <T> what a record says
	 */
	private final class TopicSource<T> implements RecordSource<T> {

		private final String topic;

		/**
		 * Beginning of the keys of the wanted records, which is not part of their names.
		 */
		private final String keyPrefix;

		private final BiFunction<String, byte[], Try<T>> decoder;

		TopicSource(String topic, String prefix, BiFunction<String, byte[], Try<T>> decoder) {
			this.topic = topic;
			this.keyPrefix = prefix;
			this.decoder = decoder;
		}

		@Override
		public Promise<Page<T>> readLatest() {
			return readLatestPage("", new LinkedHashMap<>(), -1, 0);
		}

		// Reads page after page. They are no snapshot: what changes meanwhile is read
		// again
		// from the offset that the first page ends at.
		private Promise<Page<T>> readLatestPage(String afterKey, Map<String, byte[]> values, long firstEndOffset,
				int pageIndex) {
			String afterParameter = afterKey.isEmpty() ? ""
					: "&after=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8);
			return call("GET", "/log-newest?topic=" + this.topic + "&part=0" + afterParameter, new byte[0], 0)
				.then((answer) -> {
					JsonNode tree = parse(answer);
					String lastKey = afterKey;
					for (JsonNode item : tree.path("items")) {
						lastKey = item.path("key").asText();
						values.put(lastKey, Base64.getDecoder().decode(item.path("value").asText()));
					}
					long endOffset = (firstEndOffset >= 0) ? firstEndOffset : tree.path("end-offset").asLong();
					boolean hasMore = tree.path("has-more").asBoolean() && !lastKey.equals(afterKey)
							&& pageIndex < MAX_PAGES;
					return hasMore ? readLatestPage(lastKey, values, endOffset, pageIndex + 1)
							: Promise.of(decode(withoutPrefix(values), endOffset));
				});
		}

		private static JsonNode parse(StoreResponse answer) throws PlatformException {
			if (answer.status() != HTTP_OK) {
				throw new PlatformException("read answered with status " + answer.status());
			}
			return Json.parse(answer.body()).getOrElseThrow(() -> new PlatformException("malformed answer"));
		}

		@Override
		public Promise<Page<T>> readFrom(long offset, long waitMillis) {
			String waitParameter = (waitMillis > 0) ? "&wait-ms=" + waitMillis : "";
			return call("GET", "/log-read?topic=" + this.topic + "&part=0&from=" + offset + waitParameter, new byte[0],
					waitMillis)
				.map((answer) -> {
					if (answer.status() == HTTP_GONE) {
						return Page.ofExpiredOffset();
					}
					if (answer.status() != HTTP_OK) {
						throw new PlatformException("read answered with status " + answer.status());
					}
					return decodeBody(answer.body(), offset);
				});
		}

		private Page<T> decodeBody(byte[] body, long offset) {
			ByteBuffer buffer = ByteBuffer.wrap(body);
			// The end of the log and the first offset that is kept precede the records.
			buffer.getLong();
			buffer.getLong();
			Map<String, byte[]> values = new LinkedHashMap<>();
			long nextOffset = offset;
			while (buffer.remaining() >= Integer.BYTES) {
				byte[] record = new byte[buffer.getInt()];
				buffer.get(record);
				nextOffset++;
				int keyLength = (record.length > 0) ? record[0] & 0xff : 0;
				if (record.length >= 1 + keyLength) {
					String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
					values.remove(key);
					values.put(key, Arrays.copyOfRange(record, 1 + keyLength, record.length));
				}
			}
			return decode(withoutPrefix(values), nextOffset);
		}

		private Map<String, byte[]> withoutPrefix(Map<String, byte[]> values) {
			Map<String, byte[]> recordsByName = new LinkedHashMap<>();
			values.forEach((key, value) -> {
				if (key.startsWith(this.keyPrefix)) {
					recordsByName.put(key.substring(this.keyPrefix.length()), value);
				}
			});
			return recordsByName;
		}

		@Override
		public Page<T> decode(Map<String, byte[]> values, long nextOffset) {
			Map<String, Optional<T>> entries = new LinkedHashMap<>();
			values.forEach((name, value) -> {
				if (value.length == 0) {
					entries.put(name, Optional.empty());
					return;
				}
				Try<T> decoded = this.decoder.apply(name, value);
				decoded.onFailure((failure) -> LogEvent.RECORD_UNREADABLE.log("topic", this.topic, "name", name,
						"reason", failure.getMessage()));
				entries.put(name, decoded.toJavaOptional());
			});
			return new Page<>(entries, values, nextOffset, false, null);
		}

	}

}
