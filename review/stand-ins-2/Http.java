import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal blocking HTTP/1.1, for the stand-ins of the review. */
final class Http {

	private Http() {
	}

	/** Head of a message with its body. */
	static final class Message {

		String startLine;

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		String header(String name, String fallback) {
			return this.headers.getOrDefault(name.toLowerCase(), fallback);
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

	}

	/** Serves one connection. */
	interface Handler {

		void serve(Socket socket, InputStream in, OutputStream out) throws Exception;

	}

	static ServerSocket listen(String ip, int port, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
		daemon(() -> {
			while (!server.isClosed()) {
				try {
					Socket socket = server.accept();
					socket.setTcpNoDelay(true);
					daemon(() -> {
						try (socket) {
							handler.serve(socket, new java.io.BufferedInputStream(socket.getInputStream(), 16384),
									socket.getOutputStream());
						}
						catch (Exception ex) {
							// The peer has left.
						}
					});
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return server;
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int c = in.read(); c != '\n'; c = in.read()) {
			if (c < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("end inside a head");
			}
			if (c != '\r') {
				line.write(c);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a head, or returns null at the end of the input. */
	static Message head(InputStream in) throws IOException {
		Message message = new Message();
		message.startLine = line(in);
		if (message.startLine == null) {
			return null;
		}
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
		}
		return message;
	}

	/** Reads a body with a length or in chunks. */
	static void body(InputStream in, Message message) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (message.header("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
				body.write(chunk);
			}
		}
		else {
			body.write(exactly(in, Integer.parseInt(message.header("content-length", "0"))));
		}
		message.body = body.toByteArray();
	}

	/** Reads a chunk; the last one is empty. */
	static byte[] chunk(InputStream in) throws IOException {
		String size = line(in);
		if (size == null) {
			throw new EOFException("end inside a body");
		}
		byte[] chunk = exactly(in, Integer.parseInt(size.trim(), 16));
		line(in);
		return chunk;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("end inside a body");
		}
		return bytes;
	}

	static void write(OutputStream out, String startLine, List<String> headers, byte[] body) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		List<String> lines = new ArrayList<>(headers);
		if (body != null) {
			lines.add("Content-Length: " + body.length);
		}
		bytes.write((startLine + "\r\n" + String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
		if (body != null) {
			bytes.write(body);
		}
		out.write(bytes.toByteArray());
		out.flush();
	}

}
