package carawayswitch.platform;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Try;

import carawayswitch.gateway.CapUse;
import carawayswitch.gateway.CapUseStore;
import carawayswitch.gateway.HostDirectory;
import carawayswitch.gateway.HostRecord;
import carawayswitch.gateway.LogPosition;
import carawayswitch.gateway.Platform;
import carawayswitch.gateway.QuarantineRecord;
import carawayswitch.gateway.QuarantineStore;
import carawayswitch.gateway.RecordSource;
import carawayswitch.gateway.RolloutStatus;
import carawayswitch.gateway.RolloutStore;
import carawayswitch.gateway.StreamBatch;
import carawayswitch.gateway.StreamOriginStore;
import carawayswitch.http.ConnectionPool;
import carawayswitch.http.Json;
import carawayswitch.http.OutgoingRequest;
import carawayswitch.http.ResponseListener;
import carawayswitch.log.LogEvent;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.OriginEntry;
import carawayswitch.route.RouteTable;

/**
 * HTTP client of the platform's store, which keeps logs of keyed records (topics). A call
 * that exceeds its time limit closes its connection, because the store sends no further
 * answers on a connection on which an answer was lost. Confined to the thread of its
 * event loop.
 */
public final class StoreClient
		implements Platform, HostDirectory, QuarantineStore, StreamOriginStore, RolloutStore, CapUseStore {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * Time limit of a call in milliseconds, in addition to the wait of a long poll.
	 */
	private static final long ANSWER_TIMEOUT_MILLIS = 1000;

	/**
	 * Idle timeout of keep-alive connections in milliseconds: as long as hosts pause
	 * between two calls.
	 */
	private static final long MAX_IDLE_MILLIS = 10_000;

	private static final int HTTP_OK = 200;

	private static final int HTTP_GONE = 410;

	private static final int HTTP_PRECONDITION_FAILED = 412;

	private static final int MAX_PAGES = 200;

	/**
	 * Header with the epoch of the store, which rises each time that the store is
	 * restored from an older copy.
	 */
	private static final String EPOCH_HEADER = "Store-Era";

	/** Epoch of a store that names none. */
	private static final long UNKNOWN_EPOCH = 0;

	/** Topic of the configuration that operators write. */
	private static final String CONFIGURATION_TOPIC = "keyed.op";

	private static final String CONFIGURATION_KEY = "config";

	/** Topic of the registrations of endpoints. */
	private static final String ENDPOINT_TOPIC = "keyed.servers";

	/** Topic of the records that hosts write about themselves, in spite of its name. */
	private static final String HOST_TOPIC = "keyed.status";

	private static final String HOST_KEY_PREFIX = "host/";

	/** Topic of the quarantine rules. */
	private static final String QUARANTINE_TOPIC = "keyed.quarantine";

	/** Topic of the origins at which streams may have begun. */
	private static final String ORIGIN_TOPIC = "keyed.origins";

	/** Topic of the streams whose origin the table does not tell. */
	private static final String STREAM_TOPIC = "keyed.streams";

	/** Prefix of the orders of rollouts, and of what is reported about them. */
	private static final String ROLLOUT_KEY_PREFIX = "rollout/";

	/** Topic of the progress of rollouts. */
	private static final String ROLLOUT_TOPIC = "keyed.rollouts";

	/** Topic of the record of the use of caps. */
	private static final String CAP_TOPIC = "keyed.caps";

	private static final String CAP_KEY = "use";

	private final NioReactor reactor;

	private final ConnectionPool pool;

	private final InetSocketAddress address;

	/**
	 * Creates a client.
	 * @param reactor event loop that runs the client
	 * @param pool connection pool
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

	@Override
	public QuarantineStore quarantine() {
		return this;
	}

	@Override
	public RecordSource<QuarantineRecord> rules() {
		return new TopicSource<>(QUARANTINE_TOPIC, "", StoreClient::quarantineRecord);
	}

	private static Try<QuarantineRecord> quarantineRecord(String name, byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			List<String> segments = new ArrayList<>();
			tree.path("segments").forEach((segment) -> segments.add(segment.asText()));
			if (segments.isEmpty()) {
				throw new PlatformException("\"segments\" is missing or empty");
			}
			return new QuarantineRecord(name, segments, tree.path("expires-at").asLong(),
					tree.path("duration-ms").asLong());
		});
	}

	@Override
	public Promise<Void> publishRule(QuarantineRecord record) {
		ObjectNode value = Json.object()
			.put("expires-at", record.expiresAtWallMillis())
			.put("duration-ms", record.durationMillis());
		ArrayNode segments = value.putArray("segments");
		record.segments().forEach(segments::add);
		return append(QUARANTINE_TOPIC, encodeRecord(record.name(), Json.bytes(value)));
	}

	@Override
	public Promise<Void> removeRule(String name) {
		return append(QUARANTINE_TOPIC, encodeRecord(name, new byte[0]));
	}

	@Override
	public StreamOriginStore streamOrigins() {
		return this;
	}

	@Override
	public RecordSource<OriginEntry> origins() {
		return new TopicSource<>(ORIGIN_TOPIC, "", (name, bytes) -> StreamOriginCodec.decodeEntry(bytes));
	}

	@Override
	public Promise<Void> publishOrigins(List<OriginEntry> puts, List<OriginEntry> removals, long expectedOffset) {
		ByteArrayOutputStream records = new ByteArrayOutputStream();
		puts.forEach((entry) -> records
			.writeBytes(encodeRecord(StreamOriginCodec.key(entry), StreamOriginCodec.encode(entry))));
		removals.forEach((entry) -> records.writeBytes(encodeRecord(StreamOriginCodec.key(entry), new byte[0])));
		return append(ORIGIN_TOPIC, records.toByteArray(), (expectedOffset >= 0) ? "&at=" + expectedOffset : "");
	}

	@Override
	public RecordSource<StreamBatch> streams() {
		return new TopicSource<>(STREAM_TOPIC, "", StreamOriginCodec::decodeBatch);
	}

	@Override
	public Promise<Void> publishStreams(StreamBatch batch, List<String> expired) {
		ByteArrayOutputStream records = new ByteArrayOutputStream();
		records.writeBytes(encodeRecord(batch.name(), StreamOriginCodec.encode(batch)));
		expired.forEach((name) -> records.writeBytes(encodeRecord(name, new byte[0])));
		return append(STREAM_TOPIC, records.toByteArray());
	}

	@Override
	public RolloutStore rollouts() {
		return this;
	}

	@Override
	public RecordSource<RolloutOrder> orders() {
		return new TopicSource<>(CONFIGURATION_TOPIC, ROLLOUT_KEY_PREFIX, RolloutCodec::decodeOrder);
	}

	@Override
	public RecordSource<RolloutProgress> progress() {
		return new TopicSource<>(ROLLOUT_TOPIC, "", RolloutCodec::decodeProgress);
	}

	@Override
	public Promise<Void> publishProgress(RolloutProgress progress, long expectedOffset) {
		return append(ROLLOUT_TOPIC, encodeRecord(progress.service(), RolloutCodec.encode(progress)),
				"&at=" + expectedOffset);
	}

	@Override
	public RecordSource<RolloutStatus> statuses() {
		return new TopicSource<>(HOST_TOPIC, ROLLOUT_KEY_PREFIX, (name, bytes) -> RolloutCodec.decodeStatus(bytes));
	}

	@Override
	public Promise<Void> publishStatus(String service, RolloutStatus status) {
		return append(HOST_TOPIC, encodeRecord(ROLLOUT_KEY_PREFIX + service, RolloutCodec.encode(status)));
	}

	@Override
	public CapUseStore capUse() {
		return this;
	}

	@Override
	public Promise<Void> publishCapUse(CapUse use) {
		return append(CAP_TOPIC, encodeRecord(CAP_KEY, CapUseCodec.encode(use)));
	}

	@Override
	public Promise<Optional<CapUse>> readCapUse() {
		return new TopicSource<>(CAP_TOPIC, "", (name, bytes) -> CapUseCodec.decode(bytes)).readLatest()
			.map((page) -> page.entries().getOrDefault(CAP_KEY, Optional.empty()));
	}

	// Layout of a record: length of the rest (4 bytes), length of the key (1 byte), key,
	// value. An empty value marks the key as removed.
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
		return append(topic, records, "");
	}

	private Promise<Void> append(String topic, byte[] records, String condition) {
		return call("POST", "/log-append?topic=" + topic + "&part=0" + condition, records, 0).map((response) -> {
			if (response.status() == HTTP_PRECONDITION_FAILED) {
				throw new PlatformException("another host has changed the topic since it was read");
			}
			if (response.status() != HTTP_OK) {
				throw new PlatformException(
						"store answered an append with status " + response.status() + "; expected " + HTTP_OK);
			}
			return null;
		});
	}

	private Promise<StoreResponse> call(String method, String target, byte[] body, long waitMillis) {
		SettablePromise<StoreResponse> result = new SettablePromise<>();
		HttpHeaders headers = new DefaultHttpHeaders().set("Host",
				this.address.getHostString() + ":" + this.address.getPort());
		ResponseCollector collector = new ResponseCollector(result);
		ConnectionPool.Call call = this.pool.send(this.address, new OutgoingRequest(method, target, headers, body),
				new ConnectionPool.Options(CONNECT_TIMEOUT, MAX_IDLE_MILLIS, null), collector);
		long limitMillis = waitMillis + ANSWER_TIMEOUT_MILLIS;
		AnswerTimeLimit limit = new AnswerTimeLimit(this.reactor::postNext, collector::receivedParts, () -> {
			if (!result.isComplete()) {
				call.cancel();
				result.setException(new PlatformException("no answer within " + limitMillis + " ms"));
			}
		});
		this.reactor.delayBackground(limitMillis, () -> {
			if (!result.isComplete()) {
				limit.onDue(this.reactor.currentTimeMillis());
			}
		});
		return result;
	}

	/**
	 * Status, epoch and body of an answer of the store. Immutable.
	 */
	private record StoreResponse(int status, long epoch, byte[] body) {

	}

	/**
	 * Collects the status and body of one answer. Confined to the thread of the event
	 * loop.
	 */
	private static final class ResponseCollector implements ResponseListener {

		private final SettablePromise<StoreResponse> result;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private int receivedParts;

		private long epoch = UNKNOWN_EPOCH;

		ResponseCollector(SettablePromise<StoreResponse> result) {
			this.result = result;
		}

		@Override
		public void onHead(HttpResponse response) {
			this.receivedParts++;
			this.status = response.status().code();
			String epochHeader = response.headers().get(EPOCH_HEADER);
			if (epochHeader != null) {
				this.epoch = Try.of(() -> Long.parseLong(epochHeader.trim()))
					.onFailure((ex) -> LogEvent.RECORD_UNREADABLE.log("header", EPOCH_HEADER, "value", epochHeader))
					.getOrElse(UNKNOWN_EPOCH);
			}
		}

		@Override
		public void onBody(byte[] bytes) {
			this.receivedParts++;
			this.body.writeBytes(bytes);
		}

		int receivedParts() {
			return this.receivedParts;
		}

		@Override
		public void onComplete() {
			this.result.trySet(new StoreResponse(this.status, this.epoch, this.body.toByteArray()));
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
	 * Source of the records of one topic whose keys have a common prefix. Confined to the
	 * thread of the event loop.
	 *
	 * @param <T> type of a decoded record
	 */
	private final class TopicSource<T> implements RecordSource<T> {

		private final String topic;

		/**
		 * Prefix of the keys of the records to read. The name of a record is its key
		 * without the prefix.
		 */
		private final String keyPrefix;

		private final BiFunction<String, byte[], Try<T>> decoder;

		TopicSource(String topic, String keyPrefix, BiFunction<String, byte[], Try<T>> decoder) {
			this.topic = topic;
			this.keyPrefix = keyPrefix;
			this.decoder = decoder;
		}

		@Override
		public Promise<Page<T>> readLatest() {
			return readLatestPage("", new LinkedHashMap<>(), null, 0);
		}

		// Reads all pages, one after the other. Together they are not a snapshot. The
		// returned position is therefore the end of the first page, so that changes made
		// in the meantime are read again. Pages of different epochs do not belong
		// together.
		private Promise<Page<T>> readLatestPage(String afterKey, Map<String, byte[]> values, LogPosition firstEnd,
				int pageIndex) {
			String afterParameter = afterKey.isEmpty() ? ""
					: "&after=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8);
			return call("GET", "/log-newest?topic=" + this.topic + "&part=0" + afterParameter, new byte[0], 0)
				.then((response) -> {
					JsonNode tree = parse(response);
					String lastKey = afterKey;
					for (JsonNode item : tree.path("items")) {
						lastKey = item.path("key").asText();
						values.put(lastKey, Base64.getDecoder().decode(item.path("value").asText()));
					}
					LogPosition end = (firstEnd != null) ? firstEnd
							: LogPosition.ofStore(response.epoch(), tree.path("end-offset").asLong());
					if (end.epoch() != response.epoch()) {
						throw new PlatformException("the store was restored while it was read");
					}
					boolean hasMore = tree.path("has-more").asBoolean();
					if (hasMore && (lastKey.equals(afterKey) || pageIndex == MAX_PAGES)) {
						throw new PlatformException("page " + pageIndex + " of topic " + this.topic
								+ " is not the last one and brings nothing new; at most " + MAX_PAGES + " are read");
					}
					return hasMore ? readLatestPage(lastKey, values, end, pageIndex + 1)
							: Promise.of(decode(withoutPrefix(values), end));
				});
		}

		private static JsonNode parse(StoreResponse response) throws PlatformException {
			if (response.status() != HTTP_OK) {
				throw new PlatformException(
						"store answered a read with status " + response.status() + "; expected " + HTTP_OK);
			}
			return Json.parse(response.body())
				.getOrElseThrow(() -> new PlatformException("answer of the store is not valid JSON"));
		}

		@Override
		public Promise<Page<T>> readFrom(LogPosition from, long waitMillis) {
			String waitParameter = (waitMillis > 0) ? "&wait-ms=" + waitMillis : "";
			return call("GET", "/log-read?topic=" + this.topic + "&part=0&from=" + from.offset() + waitParameter,
					new byte[0], waitMillis)
				.map((response) -> {
					if (response.status() == HTTP_GONE) {
						return Page.ofExpiredOffset(response.epoch());
					}
					if (response.status() != HTTP_OK) {
						throw new PlatformException("store answered a read with status " + response.status()
								+ "; expected " + HTTP_OK + " or " + HTTP_GONE);
					}
					return decodeBody(response.body(), LogPosition.ofStore(response.epoch(), from.offset()));
				});
		}

		private Page<T> decodeBody(byte[] body, LogPosition from) {
			ByteBuffer buffer = ByteBuffer.wrap(body);
			// Header: the end offset of the log and the oldest offset that is kept, 8
			// bytes each. An answer is limited in size, so that it may end before the
			// log does.
			long endOffset = buffer.getLong();
			buffer.getLong();
			Map<String, byte[]> values = new LinkedHashMap<>();
			long nextOffset = from.offset();
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
			Page<T> page = decode(withoutPrefix(values), LogPosition.ofStore(from.epoch(), nextOffset));
			return (nextOffset < endOffset) ? page.withMoreToRead() : page;
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
		public Page<T> decode(Map<String, byte[]> values, LogPosition next) {
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
			return new Page<>(entries, values, next, false, true, null);
		}

	}

}
