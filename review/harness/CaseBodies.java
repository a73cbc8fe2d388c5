import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** More clients than usual send large bodies, within the limits of the config, at once. */
final class CaseBodies {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	private static final int WORK_MILLIS = 21;

	private static final int BODY_BYTES = 1_000_000;

	private static final int GATEWAYS = 2;

	/** Clients of all gateways together. */
	private static final int USUAL_CLIENTS = 130 * GATEWAYS;

	private static final int BURSTS = 2;

	private static final double BURST = 2.5;

	private static final int BURST_MILLIS = 6000;

	private static final int USUAL_MILLIS = 6000;

	/** Pause after the burst, in which a choked machine would count as slowed. */
	private static final int CALM_MILLIS = 6000;

	private static final int AFTER_MILLIS = 12_000;

	/** Timeout of the route. */
	private static final int TIMEOUT_MILLIS = 4000;

	/** Time from which a request that is unanswered at the timeout counts as held. */
	private static final int HELD_MILLIS = TIMEOUT_MILLIS + 500;

	/** Time that a client waits. */
	private static final int DEADLINE_MILLIS = 5000;

	private static final byte[] BODY = new byte[BODY_BYTES];

	private static final byte[] SMALL_BODY = new byte[600];

	private final Fleet fleet;

	private final List<Fleet.Gateway> gateways = new ArrayList<>();

	private final List<Worker> workers = new ArrayList<>();

	private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();

	private final AtomicInteger unansweredAtTimeout = new AtomicInteger();

	private final AtomicInteger unansweredLater = new AtomicInteger();

	private final AtomicInteger nextClient = new AtomicInteger();

	private CaseBodies(Fleet fleet) throws Exception {
		this.fleet = fleet;
		fleet.store.put("keyed.op", "config", Configs.plain(1, 0, KEY));
		for (int i = 0; i < 3; i++) {
			this.workers.add(new Worker(fleet.store, Configs.SERVICE, "i-7f3a91c" + i, 6, (channel, request, body) -> {
				String attempt = request.header("x-attempt-id");
				channel.worker.run(attempt);
				Store.sleep(WORK_MILLIS);
				channel.success(attempt, new byte[800]);
			}));
		}
		for (int i = 1; i <= GATEWAYS; i++) {
			this.gateways.add(fleet.start("edge-a-" + i, fleet.store.address()));
		}
	}

	public static void main(String[] args) {
		Fleet.run(args[0], (fleet) -> new CaseBodies(fleet).run());
	}

	private void startClients(int count, byte[] body, long millis) {
		long until = System.nanoTime() + millis * 1_000_000;
		for (int i = 0; i < count; i++) {
			int number = this.nextClient.incrementAndGet();
			Server.daemon(() -> {
				for (int request = 0; System.nanoTime() < until;) {
					Fleet.Client[] client = new Fleet.Client[1];
					try {
						client[0] = this.gateways.get(number % GATEWAYS).connect();
						while (System.nanoTime() < until) {
							request(client[0], String.format("%04x%08x", number, request++), body);
							Thread.sleep(100);
						}
					}
					catch (IOException ex) {
						Thread.sleep(200);
					}
					finally {
						if (client[0] != null) {
							client[0].close();
						}
					}
				}
			});
		}
	}

	// Sends a request and gives it up at its time limit.
	private void request(Fleet.Client client, String id, byte[] body)
			throws IOException, InterruptedException {
		boolean[] ended = new boolean[2];
		Server.daemon(() -> {
			Thread.sleep(DEADLINE_MILLIS);
			synchronized (ended) {
				if (!ended[0]) {
					ended[1] = true;
					client.close();
				}
			}
		});
		String result = "";
		long sentAt = System.nanoTime();
		try {
			client.send("POST", "/puxa403/2f", id, DEADLINE_MILLIS, KEY, body);
			result = "status " + client.receive(60_000).head().status();
		}
		catch (IOException ex) {
			boolean gaveUp;
			synchronized (ended) {
				gaveUp = ended[1];
			}
			result = gaveUp ? "no answer within the time limit" : "channel closed without an answer";
			throw ex;
		}
		finally {
			synchronized (ended) {
				ended[0] = true;
			}
			long millis = (System.nanoTime() - sentAt) / 1_000_000;
			if (millis >= TIMEOUT_MILLIS) {
				this.unansweredAtTimeout.incrementAndGet();
				boolean held = millis >= HELD_MILLIS;
				this.unansweredLater.addAndGet(held ? 1 : 0);
			}
			this.results.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
			if (!result.equals("status 200")) {
				this.fleet.note(id + " of " + body.length + " bytes: " + result + " after " + millis + " ms");
			}
		}
	}

	private int run() throws Exception {
		for (int burst = 0; burst < BURSTS; burst++) {
			startClients(USUAL_CLIENTS, BODY, USUAL_MILLIS + BURST_MILLIS);
			Thread.sleep(USUAL_MILLIS);
			if (this.fleet.trouble) {
				this.fleet.note("a burst begins");
				startClients((int) (USUAL_CLIENTS * (BURST - 1)), BODY, BURST_MILLIS);
			}
			Thread.sleep(BURST_MILLIS + CALM_MILLIS);
		}
		this.fleet.note("large requests: " + new TreeMap<>(this.results));
		this.results.clear();
		this.unansweredAtTimeout.set(0);
		this.unansweredLater.set(0);
		startClients(4, SMALL_BODY, AFTER_MILLIS);
		Thread.sleep(AFTER_MILLIS + DEADLINE_MILLIS + 1000);
		this.fleet.note("small requests from 6 s after the last burst: " + new TreeMap<>(this.results));
		this.fleet.note("of these unanswered at the route's timeout: " + this.unansweredAtTimeout
				+ ", also half a second later: " + this.unansweredLater);
		boolean allAlive = true;
		for (Fleet.Gateway gateway : this.gateways) {
			boolean alive = gateway.process.isAlive();
			allAlive &= alive;
			this.fleet.note(gateway.name + ": alive " + alive + ", answers its readiness probe "
					+ (alive && gateway.ready()));
			for (String line : Files.readAllLines(gateway.log)) {
				if (line.contains("UncaughtExceptionHandler")) {
					this.fleet.note("log of " + gateway.name + ": " + line);
				}
			}
		}
		boolean held = this.unansweredLater.get() > 0.5 * this.unansweredAtTimeout.get();
		return (held || !allAlive) ? Fleet.BROKEN : Fleet.OK;
	}

}
