import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from blocking streams. Stateless. */
final class Http {

	private Http() {
	}

	/** First line and headers of a message; names of headers are in lower case. */
	record Head(String first, Map<String, String> headers) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

	}

	/** A message; complete is false if the connection ended before its end. */
	record Message(Head head, byte[] body, boolean complete) {

	}

	/** Reads a head, or returns null at an orderly end before its first byte. */
	static Head readHead(InputStream in) throws IOException {
		String first = readLine(in, true);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Head(first, headers);
	}

	private static String readLine(InputStream in, boolean endAllowed) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int c = in.read(); c != '\n'; c = in.read()) {
			if (c < 0) {
				if (endAllowed && line.size() == 0) {
					return null;
				}
				throw new EOFException("connection ended inside a head");
			}
			if (c != '\r') {
				line.write(c);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads the body of a request. */
	static byte[] readRequestBody(InputStream in, Head head) throws IOException {
		if (head.header("transfer-encoding").equals("chunked")) {
			return readChunks(in, new ByteArrayOutputStream());
		}
		String length = head.header("content-length");
		byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
		if (!length.isEmpty() && body.length < Integer.parseInt(length)) {
			throw new EOFException("connection ended inside a body");
		}
		return body;
	}

	/** Reads a response; one whose connection ends early is returned as incomplete. */
	static Message readResponse(InputStream in) throws IOException {
		Head head = readHead(in);
		if (head == null) {
			throw new EOFException("connection closed without a response");
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (head.header("transfer-encoding").equals("chunked")) {
				readChunks(in, body);
			}
			else {
				int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
				byte[] buffer = new byte[16 * 1024];
				while (body.size() < length) {
					int count = in.read(buffer, 0, Math.min(buffer.length, length - body.size()));
					if (count < 0) {
						throw new EOFException("connection ended inside a body");
					}
					body.write(buffer, 0, count);
				}
			}
			return new Message(head, body.toByteArray(), true);
		}
		catch (IOException ex) {
			return new Message(head, body.toByteArray(), false);
		}
	}

	private static byte[] readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
		while (true) {
			int length = Integer.parseInt(readLine(in, false).trim(), 16);
			byte[] chunk = in.readNBytes(length);
			if (chunk.length < length) {
				body.writeBytes(chunk);
				throw new EOFException("connection ended inside a chunk");
			}
			body.writeBytes(chunk);
			readLine(in, false);
			if (length == 0) {
				return body.toByteArray();
			}
		}
	}

}
