import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A full worker rejects requests; a small share of its answers comes twice, the second
 * time where the next answer on the channel is expected.
 */
final class CaseExtra {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	private static final int SLOTS = 6;

	private static final int WORK_MILLIS = 21;

	/**
	 * Share of the worker's answers that come twice while it is impaired. The fault is in
	 * its rejections.
	 */
	private static final double EXTRA_SHARE = 0.03;

	/** An impairment lasts 5 s and begins anew 2 s after its end. */
	private static final int IMPAIRMENT_MILLIS = 5000;

	private static final int PERIOD_MILLIS = 7000;

	private static final int LENGTH_MILLIS = 45_000;

	private static final int CLIENTS = 10;

	private CaseExtra() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseExtra::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", Configs.plain(1, 0, KEY));
		long begin = System.nanoTime();
		AtomicInteger answers = new AtomicInteger();
		AtomicInteger answeredWhileImpaired = new AtomicInteger();
		AtomicInteger rejected = new AtomicInteger();
		AtomicInteger extras = new AtomicInteger();
		Semaphore slots = new Semaphore(SLOTS);
		Worker worker = new Worker(fleet.store, Configs.SERVICE, "i-7f3a91c2", SLOTS, (channel, request, body) -> {
			String attempt = request.header("x-attempt-id");
			if (channel.extra != null) {
				channel.write(channel.extra);
				channel.extra = null;
			}
			boolean impaired = fleet.trouble
					&& (System.nanoTime() - begin) / 1_000_000 % PERIOD_MILLIS < IMPAIRMENT_MILLIS;
			answers.incrementAndGet();
			answeredWhileImpaired.addAndGet(impaired ? 1 : 0);
			if (slots.tryAcquire()) {
				try {
					int run = channel.worker.run(attempt);
					if (run > 1) {
						fleet.note("worker runs " + attempt + " for the " + run + ". time");
					}
					Store.sleep(WORK_MILLIS);
				}
				finally {
					slots.release();
				}
				channel.success(attempt, new byte[800]);
				return;
			}
			rejected.incrementAndGet();
			byte[] answer = channel.answer(503, attempt, "X-Not-Executed: 1\r\n", new byte[0]);
			if (impaired && extras.get() < EXTRA_SHARE * answeredWhileImpaired.get()) {
				extras.incrementAndGet();
				channel.extra = answer;
			}
		});
		Fleet.Gateway gateway = fleet.start("edge-a-1", fleet.store.address());
		Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
		Set<String> refusals = ConcurrentHashMap.newKeySet();
		long until = System.nanoTime() + LENGTH_MILLIS * 1_000_000L;
		Thread[] clients = new Thread[CLIENTS];
		for (int i = 0; i < clients.length; i++) {
			int number = i;
			clients[i] = Server.daemon(() -> {
				for (int count = 0; System.nanoTime() < until; count++) {
					try (Fleet.Client client = gateway.connect()) {
						while (System.nanoTime() < until) {
							String id = String.format("%04x%08x", number, count++);
							client.send("POST", "/puxa403/2f", id, 4000, KEY, new byte[600]);
							int status = client.receive(6000).head().status();
							if (status == 503) {
								refusals.add(id);
							}
							statuses.computeIfAbsent(status, (key) -> new AtomicInteger()).incrementAndGet();
							Thread.sleep(ThreadLocalRandom.current().nextInt(10, 40));
						}
					}
					catch (IOException ex) {
						statuses.computeIfAbsent(0, (key) -> new AtomicInteger()).incrementAndGet();
					}
				}
			});
		}
		for (Thread client : clients) {
			client.join();
		}
		int twice = 0;
		for (Map.Entry<String, AtomicInteger> run : new TreeMap<>(worker.runs).entrySet()) {
			if (run.getValue().get() > 1) {
				twice++;
				fleet.note("request " + run.getKey() + " ran " + run.getValue() + " times");
			}
		}
		long refused = refusals.stream().filter(worker.runs::containsKey).count();
		fleet.note("answers to clients by status: " + statuses);
		fleet.note("worker: " + answers + " answers, " + rejected + " of them rejections; " + extras + " answers sent twice, of " + answeredWhileImpaired + " while impaired");
		fleet.note(refused + " requests were answered 503 and had run");
		fleet.note(twice + " requests that are not idempotent ran more than once");
		return (twice > 0) ? Fleet.BROKEN : Fleet.OK;
	}

}
