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
 * Another writer puts one entry into the list of workers, whose key consists of random bytes.
 * Clients go on sending requests that are not idempotent.
 */
final class CaseEntry {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	private static final int WORKERS = 3;

	private static final int CLIENTS = 12;

	private static final int LOAD_MILLIS = 12_000;

	/** Timeout of the route; the clients wait for twice as long. */
	private static final int TIMEOUT_MILLIS = 2000;

	private static final int DEADLINE_MILLIS = 4000;

	private static final int LATE_MILLIS = 500;

	private static final int KEY_BYTES = 16;

	private CaseEntry() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseEntry::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config",
				Configs.plain(1, 0, KEY).replace("\"timeout-ms\":4000", "\"timeout-ms\":" + TIMEOUT_MILLIS));
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			workers.add(new Worker(fleet.store, Configs.SERVICE, "i-7f3a91c" + i, 6, (channel, request, body) -> {
				String attempt = request.header("x-attempt-id");
				channel.worker.run(attempt);
				Store.sleep(21);
				channel.success(attempt, new byte[800]);
			}));
		}
		List<Fleet.Gateway> gateways = List.of(fleet.start("edge-a-1", fleet.store.address()),
				fleet.start("edge-a-2", fleet.store.address()));
		Thread.sleep(3000);
		if (fleet.trouble) {
			String key = unreadableKey(new Random(32));
			fleet.store.put("keyed.servers", key,
					"{\"service\":\"" + Configs.SERVICE + "\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"version\":\"v1\","
							+ "\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":4,\"born\":1764900000000}");
			fleet.note("another writer has put an entry whose key has the bytes " + hex(key));
		}
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
					Fleet.Gateway gateway = gateways.get(number % gateways.size());
					try (Fleet.Client client = gateway.connect()) {
						long sentAt = System.nanoTime();
						client.send("POST", "/puxa403/2f", id, DEADLINE_MILLIS, KEY, new byte[600]);
						String result;
						try {
							result = "status " + client.receive(DEADLINE_MILLIS).head().status();
						}
						catch (IOException ex) {
							result = "no answer";
						}
						long millis = (System.nanoTime() - sentAt) / 1_000_000;
						results.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
						unanswered.addAndGet((millis > TIMEOUT_MILLIS) ? 1 : 0);
						if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
							late.incrementAndGet();
							int runs = workers.stream().mapToInt((worker) -> worker.runsOf(id)).sum();
							fleet.note(id + " to " + gateway.name + ": " + result + " within " + millis + " ms, runs " + runs);
						}
						Thread.sleep(30);
					}
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
		fleet.note("results: " + new TreeMap<>(results));
		for (Fleet.Gateway gateway : gateways) {
			long errors;
			try (var lines = Files.lines(gateway.log, StandardCharsets.ISO_8859_1)) {
				errors = lines.filter((line) -> line.contains("event=internal.error")).count();
			}
			fleet.note(gateway.name + " has logged internal.error " + errors + " times");
		}
		fleet.note(unanswered + " requests were still unanswered at the timeout of their route, " + late
				+ " of them half a second later");
		return (late.get() * 2 > unanswered.get()) ? Fleet.BROKEN : Fleet.OK;
	}

	// Random bytes, below 128 so that every reader sees the same key.
	private static String unreadableKey(Random random) {
		byte[] key = new byte[KEY_BYTES];
		for (int i = 0; i < key.length; i++) {
			key[i] = (byte) random.nextInt(128);
		}
		return new String(key, StandardCharsets.US_ASCII);
	}

	private static String hex(String key) {
		StringBuilder text = new StringBuilder();
		key.chars().forEach((c) -> text.append(String.format("%02x", c)));
		return text.toString();
	}

}
