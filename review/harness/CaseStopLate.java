import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway gets SIGTERM. Clients go on using their kept channels and send requests that
 * take almost the timeout of their route.
 */
final class CaseStopLate {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	/** Time from SIGTERM to SIGKILL. */
	private static final int GRACE_MILLIS = 8000;

	private static final int WORK_MILLIS = 2200;

	private static final int DEADLINE_MILLIS = 4000;

	private CaseStopLate() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseStopLate::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", Configs.plain(1, 0, KEY));
		Worker worker = new Worker(fleet.store, Configs.SERVICE, "i-7f3a91c2", 12, (channel, request, body) -> {
			String attempt = request.header("x-attempt-id");
			channel.worker.run(attempt);
			Store.sleep(WORK_MILLIS);
			channel.success(attempt, new byte[800]);
		});
		Fleet.Gateway gateway = fleet.start("edge-a-1", fleet.store.address());
		fleet.start("edge-a-2", fleet.store.address());
		int clients = 12;
		AtomicInteger lost = new AtomicInteger();
		Thread[] threads = new Thread[clients];
		long[] begin = new long[1];
		Object signalled = new Object();
		for (int i = 0; i < clients; i++) {
			int number = i;
			threads[i] = Server.daemon(() -> {
				try (Fleet.Client client = gateway.connect()) {
					String first = String.format("%04d", number) + "00000001";
					client.send("POST", "/puxa403/2f", first, DEADLINE_MILLIS, KEY, new byte[600]);
					fleet.note(first + " before: status " + client.receive(6000).head().status());
					synchronized (signalled) {
						while (begin[0] == 0) {
							signalled.wait();
						}
					}
					long sendAt = 500 + 480L * number;
					Thread.sleep(Math.max(0, sendAt - (System.nanoTime() - begin[0]) / 1_000_000));
					String id = String.format("%04d", number) + "00000002";
					long sentAt = System.nanoTime();
					client.send("POST", "/puxa403/2f", id, DEADLINE_MILLIS, KEY, new byte[600]);
					String result;
					try {
						result = "status " + client.receive(6000).head().status();
					}
					catch (IOException ex) {
						result = "no answer: " + ex.getMessage();
						if (worker.runsOf(id) > 0) {
							lost.incrementAndGet();
						}
					}
					long now = System.nanoTime();
					fleet.note(id + " sent " + (sentAt - begin[0]) / 1_000_000 + " ms after SIGTERM, runs "
							+ worker.runsOf(id) + ", after " + (now - sentAt) / 1_000_000 + " ms: " + result);
				}
			});
		}
		Thread.sleep(3500);
		if (fleet.trouble) {
			fleet.terminate(gateway);
		}
		synchronized (signalled) {
			begin[0] = System.nanoTime();
			signalled.notifyAll();
		}
		Server.daemon(() -> {
			gateway.process.onExit().join();
			fleet.note("the process has ended " + (System.nanoTime() - begin[0]) / 1_000_000 + " ms after SIGTERM");
		});
		Thread.sleep(GRACE_MILLIS);
		if (fleet.trouble && gateway.process.isAlive()) {
			fleet.kill(gateway);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		fleet.note(lost + " requests were passed on to a worker and their channels ended without an answer");
		return (lost.get() > 0) ? Fleet.BROKEN : Fleet.OK;
	}

}
