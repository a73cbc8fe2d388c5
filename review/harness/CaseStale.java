import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns one of three gateways away for 9 s. Meanwhile configs come in quick
 * succession, and a key is taken away.
 */
final class CaseStale {

	private static final String KEPT_KEY = "n2ctnfzs989anu6wsjnb";

	private static final String REVOKED_KEY = "i9n73hh2b9wu3fexd9dn";

	/** Routes that the config has grown by. */
	private static final int MORE_ROUTES = 1000;

	private static final int OUTAGE_MILLIS = 9000;

	private static final int STORM_MILLIS = 4000;

	private static final int STORM_GAP_MILLIS = 330;

	/** Time after the begin of the storm from which its configs lack the key. */
	private static final int REVOKE_AFTER_MILLIS = 3400;

	private static final int REVOKE_MILLIS = 5000;

	private CaseStale() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseStale::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", Configs.plain(1, 0, KEPT_KEY, REVOKED_KEY));
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			workers.add(new Worker(fleet.store, Configs.SERVICE, "i-7f3a91c" + i, 6, (channel, request, body) -> {
				String attempt = request.header("x-attempt-id");
				channel.worker.run(attempt);
				Store.sleep(21);
				channel.success(attempt, new byte[800]);
			}));
		}
		Proxy proxy = new Proxy(fleet.store.port());
		fleet.start("edge-a-1", fleet.store.address());
		fleet.start("edge-a-2", fleet.store.address());
		Fleet.Gateway gateway = fleet.start("edge-a-3", proxy.address());
		int version = 2;
		String config = Configs.plain(version, MORE_ROUTES, KEPT_KEY, REVOKED_KEY);
		fleet.store.put("keyed.op", "config", config);
		fleet.note("config of " + config.length() + " bytes");
		Thread.sleep(4000);
		Map<String, Long> sentAt = new ConcurrentHashMap<>();
		Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
		long until = System.nanoTime() + (OUTAGE_MILLIS + 5000) * 1_000_000L;
		for (int i = 0; i < 4; i++) {
			int number = i;
			Server.daemon(() -> {
				for (int count = 0; System.nanoTime() < until;) {
					try (Fleet.Client client = gateway.connect()) {
						while (System.nanoTime() < until) {
							String id = String.format("%04x%08x", number, count++);
							sentAt.put(id, System.nanoTime());
							client.send("POST", "/puxa403/2f", id, 4000, REVOKED_KEY, new byte[600]);
							int status = client.receive(6000).head().status();
							statuses.computeIfAbsent("status " + status, (key) -> new AtomicInteger()).incrementAndGet();
							Thread.sleep(20);
						}
					}
					catch (IOException ex) {
						Thread.sleep(20);
					}
				}
			});
		}
		Thread.sleep(1000);
		long begin = System.nanoTime();
		if (fleet.trouble) {
			proxy.resetting(true);
			fleet.note("the store turns edge-a-3 away");
		}
		long revokedAt = 0;
		for (long at = 0; at < STORM_MILLIS; at += STORM_GAP_MILLIS) {
			Thread.sleep(Math.max(0, at - (System.nanoTime() - begin) / 1_000_000));
			version++;
			boolean revoked = at >= REVOKE_AFTER_MILLIS;
			fleet.store.put("keyed.op", "config",
					revoked ? Configs.plain(version, MORE_ROUTES, KEPT_KEY)
							: Configs.plain(version, MORE_ROUTES, KEPT_KEY, REVOKED_KEY));
			if (revoked && revokedAt == 0) {
				revokedAt = System.nanoTime();
				fleet.note("config " + version + " without the key is acknowledged");
			}
		}
		Thread.sleep(Math.max(0, OUTAGE_MILLIS - (System.nanoTime() - begin) / 1_000_000));
		proxy.resetting(false);
		fleet.note("the store serves edge-a-3");
		Thread.sleep(Math.max(0, (until - System.nanoTime()) / 1_000_000) + 500);
		int late = 0;
		Map<String, Long> sorted = new TreeMap<>(sentAt);
		for (Map.Entry<String, Long> sent : sorted.entrySet()) {
			long afterRevoke = (sent.getValue() - revokedAt) / 1_000_000;
			boolean ran = workers.stream().anyMatch((worker) -> worker.runsOf(sent.getKey()) > 0);
			if (ran && afterRevoke > REVOKE_MILLIS) {
				late++;
				fleet.note("request " + sent.getKey() + " was sent " + afterRevoke
						+ " ms after the ack of the config without its key and ran");
			}
		}
		fleet.note("answers to clients: " + new TreeMap<>(statuses));
		fleet.note(late + " requests ran that were sent more than " + REVOKE_MILLIS + " ms after the ack");
		return (late > 0) ? Fleet.BROKEN : Fleet.OK;
	}

}
