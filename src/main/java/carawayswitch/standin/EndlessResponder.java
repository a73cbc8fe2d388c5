package carawayswitch.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for an endpoint in trouble, which responds to each request with bytes that are
 * no answer and do not end until the caller closes the connection. Thread-safe.
 */
public final class EndlessResponder {

	private static final int BLOCK_BYTES = 16 * 1024;

	private static final Pattern ATTEMPT_ID = Pattern.compile("(?im)^x-attempt-id: *(\\S+)");

	private final Mode mode;

	private final ServerSocket server;

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicInteger openConnections = new AtomicInteger();

	private EndlessResponder(Mode mode, ServerSocket server) {
		this.mode = mode;
		this.server = server;
	}

	/**
	 * Starts an endpoint on an ephemeral loopback port.
	 * @param mode what the endpoint sends
	 * @return the endpoint
	 * @throws IOException if no port can be bound
	 */
	public static EndlessResponder start(Mode mode) throws IOException {
		EndlessResponder responder = new EndlessResponder(mode,
				new ServerSocket(0, 0, InetAddress.getLoopbackAddress()));
		daemon(responder::acceptAll);
		return responder;
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "endless-responder");
		thread.setDaemon(true);
		thread.start();
	}

	private void acceptAll() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.openConnections.incrementAndGet();
				daemon(() -> respond(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private void respond(Socket socket) {
		try (socket) {
			byte[] request = new byte[BLOCK_BYTES];
			int length = Math.max(0, socket.getInputStream().read(request));
			Matcher id = ATTEMPT_ID.matcher(new String(request, 0, length, StandardCharsets.ISO_8859_1));
			OutputStream out = socket.getOutputStream();
			out.write(bytes(String.format(this.mode.start, id.find() ? id.group(1) : "")));
			byte[] block = bytes(this.mode.repeated.repeat(BLOCK_BYTES / this.mode.repeated.length()));
			while (true) {
				out.write(block);
				this.sentBytes.addAndGet(block.length);
			}
		}
		catch (IOException ex) {
			// The caller closed the connection.
		}
		finally {
			this.openConnections.decrementAndGet();
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Returns the address that the endpoint listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Returns the number of bytes sent on all connections.
	 * @return the number
	 */
	public long sentBytes() {
		return this.sentBytes.get();
	}

	/**
	 * Returns the number of connections that the callers have not closed.
	 * @return the number
	 */
	public int openConnections() {
		return this.openConnections.get();
	}

	/**
	 * Closes the listener.
	 * @throws IOException if that fails
	 */
	public void stop() throws IOException {
		this.server.close();
	}

	/**
	 * Part of the response that does not end.
	 */
	public enum Mode {

		/** Status line. */
		STATUS_LINE("HTTP/1.1 200 ", "x"),

		/** Value of one header. */
		HEADER("HTTP/1.1 200 OK\r\nX-Endless: ", "x"),

		/** Number of headers. */
		HEADERS("HTTP/1.1 200 OK\r\n", "X-Endless: x\r\n"),

		/** Number of informational responses before the final one. */
		INFORMATIONAL_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),

		/** Body of a response to another request. */
		BODY_OF_OTHER_RESPONSE("HTTP/1.1 200 OK\r\nX-Attempt-Id: not-%s\r\nX-Response-Seal: s\r\n\r\n", "x"),

		/** Body without length. */
		BODY("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n\r\n", "x"),

		/** Body in chunks. */
		CHUNKED_BODY("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
				"10\r\n0123456789abcdef\r\n"),

		/** Body of an error response. */
		ERROR_BODY("HTTP/1.1 500 Error\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n\r\n", "x"),

		/** One event of a stream. */
		EVENT("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
				+ "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"),

		/** Lines of one event of a stream. */
		EVENT_LINES("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
				+ "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"),

		/** Number of events of a stream. */
		EVENTS("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
				+ "Content-Type: text/event-stream\r\n\r\n", ": keep-alive\n\n");

		private final String start;

		private final String repeated;

		Mode(String start, String repeated) {
			this.start = start;
			this.repeated = repeated;
		}

	}

}
