import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/** A small deployment of gateways, two engines and a plain worker, with its record. */
final class Fleet implements AutoCloseable {

	static final String BOUNDS = "\"seed-lag-s\":3,\"addr-reuse-s\":2,\"stability-ms\":3000,\"ack-ms\":4000,"
			+ "\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,\"config-apply-ms\":2000,"
			+ "\"rollback-slack-ms\":250,\"max-stretch-ms\":5000,\"revoke-strict\":true,\"revoke-ms\":5000,"
			+ "\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"budget-extra\":52,\"quota-window-s\":8,"
			+ "\"quota-excess\":0.1,\"quota-slack\":140000,\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":10";

	static final String CONTRACTS = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
			+ "\"stream\",\"tenants\",\"quota\",\"platform\"";

	final Store store = new Store();

	final List<Gateway> gateways = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	final ConcurrentLinkedQueue<Worker.Run> runs = new ConcurrentLinkedQueue<>();

	final Client client = new Client();

	final long startedAt = System.currentTimeMillis();

	private final PrintWriter record;

	private final Path directory;

	Fleet(Path caseFolder, int gatewayCount, String contracts) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
		this.directory = Files.createTempDirectory("review-2-");
		String network = "127.77." + (1 + ProcessHandle.current().pid() % 250) + ".";
		for (int i = 0; i < gatewayCount; i++) {
			String name = "g" + (i + 1);
			int port = this.store.listen(name).getLocalPort();
			this.gateways.add(new Gateway(name, network + (21 + i), port, this.directory, BOUNDS, contracts));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	void addWorker(String id, String service, int events, long eventMillis) throws IOException {
		this.workers.add(new Worker(id, service, events, eventMillis, this.runs));
	}

	void writeConfig(int version, List<String> tenants) {
		String config = "{\"version\":" + version + ",\"routes\":["
				+ "{\"name\":\"r-draft\",\"host\":\"site.example\",\"path-prefix\":\"/draft/\",\"kind\":\"streaming\","
				+ "\"timeout-ms\":12000,\"target-latency-ms\":1000,\"priority\":0,\"service\":\"llm\","
				+ "\"max-attempts\":2,\"auth-exempt\":false,\"sticky\":true,\"stream-resume\":true,\"gap-aim-ms\":250},"
				+ "{\"name\":\"r-post\",\"host\":\"site.example\",\"path-prefix\":\"/post/\","
				+ "\"kind\":\"non_idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,\"priority\":2,"
				+ "\"service\":\"ledger\",\"max-attempts\":1,\"auth-exempt\":false},"
				+ "{\"name\":\"r-get\",\"host\":\"site.example\",\"path-prefix\":\"/get/\",\"kind\":\"idempotent\","
				+ "\"timeout-ms\":4000,\"target-latency-ms\":300,\"priority\":2,\"service\":\"ledger\","
				+ "\"max-attempts\":2,\"auth-exempt\":false}],\"services\":["
				+ "{\"name\":\"llm\",\"health-path\":\"/health\",\"max-connections\":360,\"protocol\":\"h1\","
				+ "\"tls\":false,\"engine\":{\"slots\":8,\"kv-token-capacity\":590723,\"kv-token-bytes\":18432,"
				+ "\"link-mbps\":130000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,"
				+ "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
				+ "{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-connections\":96,\"protocol\":\"h1\","
				+ "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
				+ "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":["
				+ String.join(",", tenants) + "]}";
		this.store.put("keyed.op", "config", config.getBytes());
	}

	static String tenant(String name, String keys, int rate) {
		return "{\"name\":\"" + name + "\",\"api-keys\":[" + keys
				+ "],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":" + rate + ",\"burst\":"
				+ rate + "}";
	}

	void start() throws Exception {
		for (Worker worker : this.workers) {
			this.store.put("keyed.servers", worker.id, worker.registration("ready", 1));
		}
		for (Gateway gateway : this.gateways) {
			gateway.start(true);
		}
		awaitReady(20);
	}

	void awaitReady(int seconds) throws Exception {
		long until = System.currentTimeMillis() + seconds * 1000L;
		for (Gateway gateway : this.gateways) {
			while (!gateway.ready()) {
				if (System.currentTimeMillis() > until) {
					note("a gateway is not ready: " + gateway.name);
					throw new CannotRun();
				}
				Thread.sleep(50);
			}
		}
	}

	/** Sends requests for streams at an even rate until it is interrupted. */
	Thread load(List<Gateway> gateways, String key, int tokensPerSecond) {
		return Http.daemon(() -> {
			long begin = System.nanoTime();
			for (long number = 0; !Thread.currentThread().isInterrupted(); number++) {
				Gateway gateway = gateways.get((int) (number % gateways.size()));
				String session = Integer.toHexString((int) (0xa000 + number % 16));
				Http.daemon(() -> this.client.stream(gateway, "/draft/a", key, 6600, 100, session));
				long next = begin + (number + 1) * 6700 * 1_000_000_000L / tokensPerSecond;
				LockSupport.parkNanos(Math.max(0, next - System.nanoTime()));
			}
		});
	}

	void note(String text) {
		this.record.printf("%8.3f %s%n", (System.currentTimeMillis() - this.startedAt) / 1000.0, text);
	}

	double seconds(long at) {
		return (at - this.startedAt) / 1000.0;
	}

	/**
	 * Returns the most tokens of a tenant that were both sent by a client and began to run in some
	 * window.
	 */
	long mostTokens(String tenant, long windowMillis) {
		List<Worker.Run> ofTenant = this.runs.stream()
			.filter((run) -> run.tenant().equals(tenant))
			.sorted(Comparator.comparingLong(Worker.Run::at))
			.toList();
		long most = 0;
		for (int first = 0; first < ofTenant.size(); first++) {
			// A window begins when a request was sent.
			long begin = this.client.sentAt.getOrDefault(ofTenant.get(first).attempt(), Long.MAX_VALUE);
			long sum = 0;
			for (Worker.Run run : ofTenant) {
				long sentAt = this.client.sentAt.getOrDefault(run.attempt(), 0L);
				if (sentAt >= begin && run.at() >= begin && run.at() < begin + windowMillis) {
					sum += run.tokens();
				}
			}
			most = Math.max(most, sum);
		}
		return most;
	}

	/** Compares the tokens of a tenant with its limit, and records them. */
	boolean tokensHold(String tenant, long windowMillis, double allowed) {
		long most = mostTokens(tenant, windowMillis);
		String result = "most tokens of " + tenant + " in a window of " + windowMillis + " ms: " + most
				+ ", allowed: " + Math.round(allowed);
		note(result);
		System.out.println(result);
		return most <= allowed;
	}

	void recordAll() {
		this.client.sentAt.entrySet()
			.stream()
			.sorted(java.util.Map.Entry.comparingByValue())
			.forEach((sent) -> this.record.printf("%8.3f sent %s answered %s%n", seconds(sent.getValue()), sent.getKey(),
					this.client.status.getOrDefault(sent.getKey(), -1)));
		for (Worker.Run run : this.runs) {
			this.record.printf("%8.3f run %s tenant %s tokens %d at %s%n", seconds(run.at()), run.attempt(),
					run.tenant(), run.tokens(), run.worker());
		}
	}

	void recordLogs(String pattern, int most) {
		for (Gateway gateway : this.gateways) {
			gateway.log.stream()
				.filter((line) -> line.matches(pattern))
				.limit(most)
				.forEach((line) -> this.record.println("log " + gateway.name + " " + line));
		}
	}

	@Override
	public void close() {
		for (Gateway gateway : this.gateways) {
			Process process = gateway.process;
			if (process != null) {
				process.destroyForcibly();
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException | RuntimeException ex) {
			// The folder has been deleted already.
		}
	}

	/** The case cannot run here. */
	static final class CannotRun extends Exception {

		private static final long serialVersionUID = 1;

	}

	interface Body {

		boolean holds(boolean trouble) throws Exception;

	}

	/** Runs a case and exits with its result. */
	static void run(Body body) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code;
		try {
			code = body.holds(trouble) ? 0 : 1;
		}
		catch (Exception ex) {
			ex.printStackTrace();
			code = 2;
		}
		System.exit(code);
	}

}
