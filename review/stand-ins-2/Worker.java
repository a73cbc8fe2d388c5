import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/**
 * A sound worker. With X-Token-Usage it is an engine that has all parts of the prompts in its
 * memory, so that it reads none again.
 */
class Worker {

	record Run(long at, String attempt, String tenant, int tokens, String worker) {
	}

	final String id;

	final String service;

	final ConcurrentLinkedQueue<Run> runs;

	final ServerSocket server;

	private final Semaphore slots = new Semaphore(8, true);

	private final int events;

	private final long eventMillis;

	private final long born = System.currentTimeMillis();

	Worker(String id, String service, int events, long eventMillis, ConcurrentLinkedQueue<Run> runs)
			throws IOException {
		this.id = id;
		this.service = service;
		this.events = events;
		this.eventMillis = eventMillis;
		this.runs = runs;
		this.server = Http.listen("127.0.0.1", 0, this::serve);
	}

	byte[] registration(String state, int sequence) {
		return ("{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.server.getLocalPort()
				+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
				+ "\",\"cold-remaining-ms\":0,\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
				+ "\"adapters\":[]}],\"sequence\":" + sequence + ",\"born\":" + this.born + "}")
			.getBytes();
	}

	private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
		for (Http.Message request = Http.head(in); request != null; request = Http.head(in)) {
			Http.body(in, request);
			answer(socket, request, out);
		}
	}

	private void answer(Socket socket, Http.Message request, OutputStream out) throws Exception {
		String attempt = request.header("x-attempt-id", "");
		if (!this.id.equals(request.header("x-expect-instance", this.id))) {
			Http.write(out, "HTTP/1.1 421 Misdirected Request",
					List.of("X-Attempt-Id: " + attempt, "X-Instance-Id: " + this.id), new byte[0]);
			return;
		}
		this.slots.acquire();
		try {
			String usage = request.header("x-token-usage", null);
			int tokens = 200;
			if (usage != null) {
				String[] parts = usage.split(",");
				tokens = Integer.parseInt(parts[0]) + Integer.parseInt(parts[1]);
			}
			this.runs
				.add(new Run(System.currentTimeMillis(), attempt, request.header("x-tenant", ""), tokens, this.id));
			List<String> headers = List.of("X-Attempt-Id: " + attempt, "X-Response-Seal: seal." + attempt,
					"X-Weight-Versions: 1");
			if (usage == null) {
				Thread.sleep(this.eventMillis);
				Http.write(out, "HTTP/1.1 200 OK", headers, ("answer to " + attempt).getBytes());
				return;
			}
			stream(request, headers, out);
		}
		finally {
			this.slots.release();
		}
	}

	private void stream(Http.Message request, List<String> headers, OutputStream out) throws Exception {
		int last = Integer.parseInt(request.header("last-event-id", "0"));
		List<String> all = new java.util.ArrayList<>(headers);
		all.add("Content-Type: text/event-stream");
		all.add("Transfer-Encoding: chunked");
		Http.write(out, "HTTP/1.1 200 OK", all, null);
		for (int i = last + 1; i <= this.events; i++) {
			Thread.sleep(this.eventMillis);
			byte[] event = ("id: " + i + "\ndata: piece " + i + "\n\n").getBytes();
			out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.write(event);
			out.write("\r\n".getBytes());
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes());
		out.flush();
	}

}
