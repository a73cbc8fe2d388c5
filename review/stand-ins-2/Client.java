import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Sends requests to a gateway, each on a channel of its own, and records what it gets. */
final class Client {

	/** Time at which each attempt was sent, by id. */
	final Map<String, Long> sentAt = new ConcurrentHashMap<>();

	/** Status of each answer, 0 for none, by id of the attempt. */
	final Map<String, Integer> status = new ConcurrentHashMap<>();

	static String id() {
		return String.format("%016x", ThreadLocalRandom.current().nextLong());
	}

	/** Sends a request for a stream of an engine. */
	void stream(Gateway gateway, String path, String key, int promptTokens, int outputTokens, String session) {
		String attempt = id();
		List<String> headers = new ArrayList<>(List.of("Host: site.example", "X-Attempt-Id: " + attempt, "X-Model: m",
				"X-Token-Usage: " + promptTokens + "," + outputTokens,
				"X-Prompt-Prefix: 5c1e07a2:60," + session + ":" + (promptTokens - 60), "X-Deadline-Ms: 12000",
				"Authorization: Bearer " + key));
		send(gateway, "POST " + path + " HTTP/1.1", headers, "prompt".getBytes(), attempt);
	}

	int send(Gateway gateway, String startLine, List<String> headers, byte[] body, String attempt) {
		int result = 0;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1000);
			socket.setSoTimeout(15_000);
			this.sentAt.put(attempt, System.currentTimeMillis());
			Http.write(socket.getOutputStream(), startLine, headers, body);
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			Http.Message answer = Http.head(in);
			if (answer != null) {
				Http.body(in, answer);
				result = answer.status();
			}
		}
		catch (Exception ex) {
			result = 0;
		}
		this.status.put(attempt, result);
		return result;
	}

}
