import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a model worker. Streams numbered events that name the version of its
 * software, goes on after Last-Event-Id, and may start again under its id. Thread-safe.
 */
final class Engine {

	static final String SERVICE = "huvo11a";

	private static final int HEARTBEAT_MILLIS = 1200;

	private final Store store;

	private final String id;

	private final int events;

	private final int eventMillis;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private ServerSocket listener;

	private int port;

	private volatile int start;

	Engine(Store store, String id, int events, int eventMillis) {
		this.store = store;
		this.id = id;
		this.events = events;
		this.eventMillis = eventMillis;
	}

	/** Starts the worker; it registers in the store some time later. */
	synchronized void start(String version, int registerAfterMillis) throws IOException {
		int thisStart = ++this.start;
		long born = System.currentTimeMillis();
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 1024);
		this.listener = socket;
		this.port = socket.getLocalPort();
		Server.daemon(() -> {
			while (true) {
				Socket channel = socket.accept();
				channel.setTcpNoDelay(true);
				this.sockets.add(channel);
				Server.daemon(() -> {
					try (channel) {
						serve(version, new BufferedInputStream(channel.getInputStream()), channel.getOutputStream());
					}
					finally {
						this.sockets.remove(channel);
					}
				});
			}
		});
		Server.daemon(() -> {
			Thread.sleep(registerAfterMillis);
			for (int sequence = 1; this.start == thisStart; sequence++) {
				this.store.put("keyed.servers", this.id,
						"{\"service\":\"" + SERVICE + "\",\"address\":\"127.0.0.1:" + this.port
								+ "\",\"zone\":\"a\",\"version\":\"" + version
								+ "\",\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" + sequence
								+ ",\"born\":" + born + "}");
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
	}

	/** Ends the worker as a crash does: its channels are reset. */
	synchronized void crash() throws IOException {
		this.start++;
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
	}

	private void serve(String version, InputStream in, OutputStream out) throws IOException {
		for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
			Http.readRequestBody(in, head);
			String attempt = head.header("x-attempt-id");
			if (!head.header("x-expect-instance").equals(this.id)) {
				write(out, "HTTP/1.1 421 X\r\nX-Attempt-Id: " + attempt
						+ "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				continue;
			}
			String last = head.header("last-event-id");
			write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= this.events; event++) {
				Store.sleep(this.eventMillis);
				String text = "id: " + event + "\ndata: " + version + "\n\n";
				write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			}
			write(out, "0\r\n\r\n");
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
