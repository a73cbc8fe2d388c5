import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four of ten model workers spoil some of their answers: a byte in the line with the id of an
 * event is wrong, and so are the bytes after that event; then they break off.
 */
final class CaseSpoiled {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	private static final int WORKERS = 10;

	private static final int FAULTY_WORKERS = 4;

	/** Share of the answers that a faulty worker spoils. */
	private static final double SPOILED_SHARE = 0.025;

	private static final int SPOIL_MILLIS = 4800;

	private static final int PAUSE_MILLIS = 2000;

	private static final int LOAD_MILLIS = 60_000;

	private static final int CLIENTS = 64;

	private static final int EVENTS = 12;

	/** Ids of events have five digits. */
	private static final int FIRST_EVENT = 10_001;

	private static final int TIMEOUT_MILLIS = 3500;

	/** Clients wait for four times the objective of 1,000 ms for the next event. */
	private static final int PATIENCE_MILLIS = 4000;

	private static final int LATE_MILLIS = 500;

	private CaseSpoiled() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseSpoiled::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config",
				Configs.engine(1, KEY)
					.replace("\"timeout-ms\":12000,\"target-latency-ms\":400", "\"timeout-ms\":" + TIMEOUT_MILLIS
							+ ",\"target-latency-ms\":1000")
					.replace("177909", "0"));
		long begin = System.nanoTime();
		AtomicInteger spoiled = new AtomicInteger();
		AtomicInteger answers = new AtomicInteger();
		for (int i = 0; i < WORKERS; i++) {
			boolean faulty = i < FAULTY_WORKERS;
			Random random = new Random(i);
			new Worker(fleet.store, Engine.SERVICE, "i-7f3a91c" + i, 8, (channel, request, body) -> {
				long phase = (System.nanoTime() - begin) / 1_000_000 % (SPOIL_MILLIS + PAUSE_MILLIS);
				answers.incrementAndGet();
				boolean spoil;
				int at;
				int wrong;
				synchronized (random) {
					spoil = faulty && fleet.trouble && phase < SPOIL_MILLIS && random.nextDouble() < SPOILED_SHARE;
					at = random.nextInt(EVENTS - 1);
					wrong = random.nextInt(256);
				}
				spoiled.addAndGet(spoil ? 1 : 0);
				stream(channel, request, spoil ? FIRST_EVENT + at : -1, wrong);
			});
		}
		List<Fleet.Gateway> gateways = List.of(fleet.start("edge-a-1", fleet.store.address()),
				fleet.start("edge-a-2", fleet.store.address()));
		Thread.sleep(3000);
		Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
		AtomicInteger unanswered = new AtomicInteger();
		AtomicInteger late = new AtomicInteger();
		long until = System.nanoTime() + LOAD_MILLIS * 1_000_000L;
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			threads.add(Server.daemon(() -> {
				for (int count = 0; System.nanoTime() < until; count++) {
					String id = String.format("%04x%08x", number, count);
					try (Fleet.Client client = gateways.get(number % 2).connect()) {
						long sentAt = System.nanoTime();
						client.send("POST", "/pufi791/2f", id, 12_000, KEY,
								"X-Model: m\r\nX-Token-Usage: 600,300\r\nX-Prompt-Prefix: 5c1e07a2:60," + id + ":540\r\n",
								new byte[600]);
						String result = await(client);
						long millis = (System.nanoTime() - sentAt) / 1_000_000;
						results.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
						if (millis > TIMEOUT_MILLIS) {
							unanswered.incrementAndGet();
						}
						if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
							late.incrementAndGet();
							fleet.note(id + " by " + gateways.get(number % 2).name + ": " + result + " after " + millis + " ms");
						}
						Thread.sleep(10);
					}
					catch (IOException ex) {
						results.computeIfAbsent(String.valueOf(ex), (key) -> new AtomicInteger()).incrementAndGet();
						Thread.sleep(100);
					}
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
		fleet.note(answers + " answers of workers, " + spoiled + " of them spoiled; results: " + new TreeMap<>(results));
		for (Fleet.Gateway gateway : gateways) {
			long errors;
			try (var lines = Files.lines(gateway.log, StandardCharsets.ISO_8859_1)) {
				errors = lines.filter((line) -> line.contains("event=internal.error")).count();
			}
			fleet.note(gateway.name + " has logged internal.error " + errors + " times");
		}
		fleet.note(unanswered + " requests were still unanswered at the timeout of their route, " + late
				+ " of them half a second later");
		boolean broken = late.get() * 2 > unanswered.get() && late.get() >= 8;
		return broken ? Fleet.BROKEN : Fleet.OK;
	}

	// Writes the events of a stream. At the event to spoil, one byte inside of its id and the
	// bytes after it are wrong, and the stream breaks off.
	private static void stream(Worker.Channel channel, Http.Head request, int spoiledEvent, int wrongByte)
			throws IOException {
		channel.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
				+ "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		String last = request.header("last-event-id");
		int first = last.matches("\\d{5}") ? Integer.parseInt(last) + 1 : FIRST_EVENT;
		for (int event = first; event < FIRST_EVENT + EVENTS; event++) {
			Store.sleep(15);
			byte[] text = ("id: " + event + "\ndata: " + "x".repeat(40) + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
			boolean spoil = event == spoiledEvent;
			if (spoil) {
				text["id: 10".length()] = (byte) wrongByte;
			}
			channel.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			channel.write(text);
			channel.write((spoil ? "\r\n\u0003\u0011?%$" : "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			if (spoil) {
				channel.socket.close();
				return;
			}
		}
		channel.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
	}

	// Reads a stream as long as a client waits for its next event.
	private static String await(Fleet.Client client) throws IOException {
		Http.Message message = client.receive(PATIENCE_MILLIS + 200);
		return "status " + message.head().status() + (message.complete() ? " complete" : " not complete");
	}

}
