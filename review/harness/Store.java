import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: keyed topics of one partition with log-append,
 * log-read and log-newest. Nothing expires. Thread-safe.
 */
final class Store {

	private static final int READ_ANSWER_MILLIS = 4;

	private static final int DEFAULT_MAX_KB = 1024;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final Server server;

	Store() throws IOException {
		this.server = new Server(this::serve);
	}

	String address() {
		return this.server.address();
	}

	int port() {
		return this.server.port();
	}

	/** Writes a record as the operator or a worker does; returns when it is acknowledged. */
	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		if (valueBytes.length > 262_144 - 1 - keyBytes.length) {
			throw new IllegalArgumentException("record of " + valueBytes.length + " bytes");
		}
		append(topic, ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array());
	}

	private void append(String topic, byte[] record) {
		records(topic).add(record);
		notifyAll();
	}

	private List<byte[]> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
		for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
			byte[] body = Http.readRequestBody(in, head);
			String target = head.first().split(" ")[1];
			int mark = target.indexOf('?');
			Map<String, String> query = new HashMap<>();
			for (String pair : target.substring(mark + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
			sleep(READ_ANSWER_MILLIS);
			switch (target.substring(0, mark)) {
				case "/log-append" -> answerAppend(out, query, body);
				case "/log-read" -> answerRead(out, query);
				case "/log-newest" -> answerNewest(out, query);
				default -> respond(out, 404, new byte[0]);
			}
		}
	}

	private synchronized void answerAppend(OutputStream out, Map<String, String> query, byte[] body)
			throws IOException {
		String topic = query.get("topic");
		int end = records(topic).size();
		if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
			respond(out, 412, ("{\"end-offset\":" + end + "}").getBytes(StandardCharsets.UTF_8));
			return;
		}
		ByteBuffer buffer = ByteBuffer.wrap(body);
		while (buffer.hasRemaining()) {
			byte[] record = new byte[buffer.getInt()];
			buffer.get(record);
			append(topic, record);
		}
		respond(out, 200, ("{\"offset\":" + end + ",\"end-offset\":" + records(topic).size() + "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	// Answers with as many records as fit into max-kb, at least one.
	private void answerRead(OutputStream out, Map<String, String> query) throws IOException {
		int from = Integer.parseInt(query.get("from"));
		long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("max-kb", "" + DEFAULT_MAX_KB));
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		DataOutputStream data = new DataOutputStream(body);
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			while (records.size() <= from && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
			data.writeLong(records.size());
			data.writeLong(0);
			for (int i = from; i < records.size(); i++) {
				byte[] record = records.get(i);
				if (i > from && body.size() + 4 + record.length > maxBytes) {
					break;
				}
				data.writeInt(record.length);
				data.write(record);
			}
		}
		respond(out, 200, body.toByteArray());
	}

	private void answerNewest(OutputStream out, Map<String, String> query) throws IOException {
		Map<String, String> items = new TreeMap<>();
		int end;
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			end = records.size();
			for (int i = 0; i < end; i++) {
				byte[] record = records.get(i);
				String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
				if (record.length == 1 + (record[0] & 0xff)) {
					items.remove(key);
				}
				else {
					items.put(key, "{\"key\":\"" + escape(key) + "\",\"value\":\"" + Base64.getEncoder()
						.encodeToString(java.util.Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length))
							+ "\",\"offset\":" + i + "}");
				}
			}
		}
		List<String> page = new ArrayList<>();
		boolean more = false;
		int bytes = 0;
		for (Map.Entry<String, String> item : items.entrySet()) {
			if (item.getKey().compareTo(query.getOrDefault("after", "")) <= 0) {
				continue;
			}
			bytes += item.getValue().length();
			if (!page.isEmpty() && (page.size() == 500 || bytes > 1_000_000)) {
				more = true;
				break;
			}
			page.add(item.getValue());
		}
		respond(out, 200, ("{\"items\":[" + String.join(",", page) + "],\"has-more\":" + more + ",\"end-offset\":" + end
				+ "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	private static String escape(String text) {
		StringBuilder escaped = new StringBuilder();
		text.chars()
			.forEach((c) -> escaped
				.append((c < 0x20 || c == '"' || c == '\\') ? String.format("\\u%04x", c) : String.valueOf((char) c)));
		return escaped.toString();
	}

	private static void respond(OutputStream out, int status, byte[] body) throws IOException {
		ByteArrayOutputStream response = new ByteArrayOutputStream();
		response.writeBytes(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		response.writeBytes(body);
		out.write(response.toByteArray());
		out.flush();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
