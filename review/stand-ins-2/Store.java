import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store: keyed topics with one partition. Each gateway has a port of its own, so
 * that the store can turn it away.
 */
final class Store {

	record Entry(String key, byte[] value) {
	}

	private final Map<String, List<Entry>> topics = new HashMap<>();

	/** Names of gateways that get 503. */
	final Set<String> refused = ConcurrentHashMap.newKeySet();

	/** Topics whose calls get 503. */
	final Set<String> downTopics = ConcurrentHashMap.newKeySet();

	ServerSocket listen(String gateway) throws IOException {
		return Http.listen("127.0.0.1", 0, (socket, in, out) -> {
			for (Http.Message call = Http.head(in); call != null; call = Http.head(in)) {
				Http.body(in, call);
				answer(gateway, call, out);
			}
		});
	}

	synchronized void put(String topic, String key, byte[] value) {
		this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(new Entry(key, value));
		notifyAll();
	}

	private void answer(String gateway, Http.Message call, java.io.OutputStream out) throws Exception {
		String[] parts = call.target().split("\\?", 2);
		Map<String, String> query = new HashMap<>();
		for (String pair : parts[1].split("&")) {
			String[] field = pair.split("=", 2);
			query.put(field[0], URLDecoder.decode(field[1], StandardCharsets.UTF_8));
		}
		String topic = query.get("topic");
		Thread.sleep(4);
		if (this.refused.contains(gateway) || this.downTopics.contains(topic)) {
			respond(out, 503, new byte[0]);
			return;
		}
		switch (parts[0]) {
			case "/log-newest" -> newest(topic, out);
			case "/log-read" -> read(gateway, topic, Integer.parseInt(query.get("from")),
					Long.parseLong(query.getOrDefault("wait-ms", "0")), out);
			case "/log-append" -> append(topic, query.get("at"), call.body, out);
			default -> respond(out, 404, new byte[0]);
		}
	}

	private static void respond(java.io.OutputStream out, int status, byte[] body) throws IOException {
		Http.write(out, "HTTP/1.1 " + status + " X", List.of("Store-Era: 1", "Content-Type: application/json"), body);
	}

	private void newest(String topic, java.io.OutputStream out) throws IOException {
		StringBuilder items = new StringBuilder();
		int end;
		synchronized (this) {
			List<Entry> entries = this.topics.getOrDefault(topic, List.of());
			end = entries.size();
			Map<String, Integer> offsets = new LinkedHashMap<>();
			for (int i = 0; i < end; i++) {
				offsets.put(entries.get(i).key(), i);
			}
			offsets.forEach((key, offset) -> {
				byte[] value = entries.get(offset).value();
				if (value.length > 0) {
					items.append(items.isEmpty() ? "" : ",")
						.append("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
								+ "\",\"offset\":" + offset + "}");
				}
			});
		}
		respond(out, 200, ("{\"items\":[" + items + "],\"has-more\":false,\"end-offset\":" + end + "}").getBytes());
	}

	private void read(String gateway, String topic, int from, long waitMillis, java.io.OutputStream out)
			throws Exception {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		synchronized (this) {
			long until = System.currentTimeMillis() + waitMillis;
			while (this.topics.getOrDefault(topic, List.of()).size() <= from && System.currentTimeMillis() < until) {
				wait(Math.max(1, until - System.currentTimeMillis()));
			}
			List<Entry> entries = this.topics.getOrDefault(topic, List.of());
			if (from > entries.size()) {
				respond(out, 410, "{\"first-offset\":0}".getBytes());
				return;
			}
			body.write(ByteBuffer.allocate(16).putLong(entries.size()).putLong(0).array());
			for (Entry entry : entries.subList(from, entries.size())) {
				byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
				body.write(ByteBuffer.allocate(5 + key.length + entry.value().length)
					.putInt(1 + key.length + entry.value().length)
					.put((byte) key.length)
					.put(key)
					.put(entry.value())
					.array());
			}
		}
		if (this.refused.contains(gateway) || this.downTopics.contains(topic)) {
			respond(out, 503, new byte[0]);
			return;
		}
		respond(out, 200, body.toByteArray());
	}

	private void append(String topic, String at, byte[] body, java.io.OutputStream out) throws IOException {
		int status = 200;
		int first;
		int end;
		synchronized (this) {
			first = this.topics.getOrDefault(topic, List.of()).size();
			if (at != null && Integer.parseInt(at) != first) {
				status = 412;
			}
			else {
				ByteBuffer records = ByteBuffer.wrap(body);
				while (records.hasRemaining()) {
					byte[] record = new byte[records.getInt()];
					records.get(record);
					int keyLength = record[0] & 0xff;
					put(topic, new String(record, 1, keyLength, StandardCharsets.UTF_8),
							Arrays.copyOfRange(record, 1 + keyLength, record.length));
				}
			}
			end = this.topics.getOrDefault(topic, List.of()).size();
		}
		respond(out, status, ("{\"offset\":" + first + ",\"end-offset\":" + end + "}").getBytes());
	}

}
