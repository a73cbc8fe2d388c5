import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a worker of a plain service. Registers itself in the store and serves one
 * request at a time on a channel. Thread-safe.
 */
final class Worker {

	private static final int HEARTBEAT_MILLIS = 1200;

	final String id;

	/** Number of runs of each request, by attempt id. */
	final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Server server;

	Worker(Store store, String service, String id, int slots, Behaviour behaviour) throws IOException {
		this.id = id;
		this.server = new Server((socket, in, out) -> serve(socket, in, out, behaviour));
		Server.daemon(() -> {
			for (int sequence = 1; true; sequence++) {
				store.put("keyed.servers", id, registration(service, slots, sequence));
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
	}

	private String registration(String service, int slots, int sequence) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + this.server.address()
				+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + slots
				+ ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" + sequence + ",\"born\":1764900000000}";
	}

	private void serve(Socket socket, InputStream in, OutputStream out, Behaviour behaviour) throws IOException {
		Channel channel = new Channel(this, socket, out);
		for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
			byte[] body = Http.readRequestBody(in, head);
			if (!head.header("x-expect-instance").equals(this.id)) {
				channel.answer(421, head.header("x-attempt-id"), "X-Not-Executed: 1\r\n", new byte[0]);
				continue;
			}
			behaviour.handle(channel, head, body);
		}
	}

	/** Counts that a request has begun to run. */
	int run(String attempt) {
		return this.runs.computeIfAbsent(attempt, (key) -> new AtomicInteger()).incrementAndGet();
	}

	int runsOf(String attempt) {
		return this.runs.containsKey(attempt) ? this.runs.get(attempt).get() : 0;
	}

	/** What a worker does with a request. */
	interface Behaviour {

		void handle(Channel channel, Http.Head request, byte[] body) throws IOException;

	}

	/** A channel of a worker. Used by its own thread only. */
	static final class Channel {

		final Worker worker;

		final Socket socket;

		private final OutputStream out;

		/** An extra response to send where the next one is expected, or null. */
		byte[] extra;

		Channel(Worker worker, Socket socket, OutputStream out) {
			this.worker = worker;
			this.socket = socket;
			this.out = out;
		}

		/** Answers a request that was run. */
		byte[] success(String attempt, byte[] body) throws IOException {
			return answer(200, attempt, "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", body);
		}

		byte[] answer(int status, String attempt, String headers, byte[] body) throws IOException {
			ByteArrayOutputStream response = new ByteArrayOutputStream();
			response.writeBytes(("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + attempt + "\r\n" + headers
					+ "Keep-Alive: timeout=15\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			response.writeBytes(body);
			write(response.toByteArray());
			return response.toByteArray();
		}

		void write(byte[] bytes) throws IOException {
			this.out.write(bytes);
			this.out.flush();
		}

	}

}
