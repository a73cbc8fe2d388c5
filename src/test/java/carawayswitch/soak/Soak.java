package carawayswitch.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import carawayswitch.standin.EndpointStandIn;
import carawayswitch.standin.GatewayFleet;
import carawayswitch.standin.StoreStandIn;
import carawayswitch.time.MonotonicClock;

/**
 * One run of the soak: a fleet of gateway processes behind harmful proxies, clients that
 * never pause, and a series of faults that overlap, all drawn from a seed. The order and
 * kinds of the faults repeat with the seed; their exact moments depend on the machine.
 *
 * <pre>
 * java -cp ... carawayswitch.soak.Soak --seed 1 --runs 50 --seconds 20 --hosts 4
 * </pre>
 */
public final class Soak {

	private static final int ENGINE_COUNT = 3;

	private static final int CLIENT_COUNT = 6;

	/** Time until gateways that were all harmed serve again, in milliseconds. */
	private static final long RECOVERY_LIMIT_MILLIS = 12_000;

	private static final long START_LIMIT_MILLIS = 20_000;

	private static final String[] PATHS = { "/report/1", "/summary/1", "/book/1", "/status/1" };

	private final SplittableRandom random;

	private final Path directory = Files.createTempDirectory("soak");

	private final StoreStandIn store = StoreStandIn.start();

	private final List<FaultProxy> storeProxies = new ArrayList<>();

	private final List<FaultProxy> endpointProxies = new ArrayList<>();

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private final List<GatewayProcess> gateways = new ArrayList<>();

	private final GuaranteeChecker checker = new GuaranteeChecker();

	private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);

	private final AtomicInteger attempts = new AtomicInteger();

	private final List<String> actions = new ArrayList<>();

	private final long startedMillis = MonotonicClock.millis();

	private volatile String revocableKey = "extra-0";

	private volatile boolean finished;

	private int configurationVersion = 1;

	private Soak(long seed, int hosts) throws IOException {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < ENGINE_COUNT; i++) {
			this.endpoints.add(EndpointStandIn.start("engine-" + i, "engine"));
		}
		this.endpoints.add(EndpointStandIn.start("ledger-0", "ledger"));
		writeConfiguration();
		for (EndpointStandIn endpoint : this.endpoints) {
			this.endpointProxies.add(new FaultProxy(endpoint.address()));
			registerEndpoint(this.endpoints.indexOf(endpoint), "ready");
		}
		for (int i = 0; i < hosts; i++) {
			this.storeProxies.add(new FaultProxy(this.store.address()));
			this.gateways.add(new GatewayProcess("host-" + i, this.directory, this.storeProxies.get(i).address()));
		}
	}

	/**
	 * Runs the soak once.
	 * @param seed seed of the faults
	 * @param hosts number of gateways
	 * @param seconds length of the faults
	 * @return what happened
	 */
	static Report run(long seed, int hosts, int seconds) throws Exception {
		Soak soak = new Soak(seed, hosts);
		try {
			return soak.execute(seed, seconds);
		}
		finally {
			soak.close();
		}
	}

	private long elapsedMillis() {
		return MonotonicClock.millis() - this.startedMillis;
	}

	private void writeConfiguration() {
		this.store.put("keyed.op", "config",
				GatewayFleet.configuration(this.configurationVersion++, GatewayFleet.API_KEY, this.revocableKey));
	}

	private void registerEndpoint(int index, String state) {
		EndpointStandIn endpoint = this.endpoints.get(index);
		this.store.put("keyed.servers", endpoint.id(),
				endpoint.registration(state, this.endpointProxies.get(index).address()));
	}

	private Report execute(long seed, int seconds) throws Exception {
		boolean allStarted = awaitAllServing(START_LIMIT_MILLIS);
		List<Thread> clients = Stream.generate(() -> new Thread(this::sendRequests)).limit(CLIENT_COUNT).toList();
		clients.forEach(Thread::start);
		long untilMillis = elapsedMillis() + TimeUnit.SECONDS.toMillis(seconds);
		while (elapsedMillis() < untilMillis) {
			injectRandomFault();
			TimeUnit.MILLISECONDS.sleep(100 + this.random.nextInt(700));
		}
		clearFaults();
		boolean allRecovered = awaitAllServing(RECOVERY_LIMIT_MILLIS);
		this.finished = true;
		for (Thread client : clients) {
			client.join();
		}
		List<String> violations = new ArrayList<>(this.checker.violations(this.endpoints.stream()
			.flatMap((endpoint) -> endpoint.executions().stream())
			.map(Map.Entry::getKey)
			.toList()));
		if (!allStarted) {
			violations.add("not all gateways served after the start");
		}
		if (!allRecovered) {
			violations.add("not all gateways served again " + RECOVERY_LIMIT_MILLIS + " ms after the last fault");
		}
		return new Report(seed, this.checker.requestCount(), this.checker.successCount(), this.actions, violations,
				this.directory.toString());
	}

	private void injectRandomFault() {
		long durationMillis = 200 + this.random.nextInt(2500);
		int hostIndex = this.random.nextInt(this.gateways.size());
		int endpointIndex = this.random.nextInt(this.endpoints.size());
		FaultProxy.Fault networkFault = FaultProxy.Fault.values()[1 + this.random.nextInt(4)];
		switch (this.random.nextInt(10)) {
			case 0 -> injectNetworkFault("store of host-" + hostIndex, this.storeProxies.get(hostIndex), networkFault,
					durationMillis);
			case 1, 2 -> injectNetworkFault(this.endpoints.get(endpointIndex).id(),
					this.endpointProxies.get(endpointIndex), networkFault, durationMillis);
			case 3 -> {
				signal(hostIndex, "STOP");
				scheduleAction(durationMillis, () -> this.gateways.get(hostIndex).signal("CONT"));
				recordFault(durationMillis);
			}
			case 4 -> {
				signal(hostIndex, "KILL");
				recordFault(0);
			}
			case 5 -> {
				this.checker.recordPlannedStop(this.gateways.get(hostIndex).name(), elapsedMillis());
				signal(hostIndex, "TERM");
			}
			case 6 -> signal(hostIndex, "HUP");
			case 7 -> {
				StoreStandIn.Fault storeFault = StoreStandIn.Fault.values()[1 + this.random.nextInt(4)];
				recordAction("store " + storeFault, durationMillis);
				this.store.fault(storeFault);
				scheduleAction(durationMillis, () -> this.store.fault(StoreStandIn.Fault.NONE));
			}
			case 8 -> {
				EndpointStandIn.ResponseMode mode = EndpointStandIn.ResponseMode.values()[1 + this.random.nextInt(5)];
				recordAction(this.endpoints.get(endpointIndex).id() + " " + mode, durationMillis);
				this.endpoints.get(endpointIndex).responseMode(mode);
				scheduleAction(durationMillis,
						() -> this.endpoints.get(endpointIndex).responseMode(EndpointStandIn.ResponseMode.NORMAL));
				recordFault(durationMillis);
			}
			default -> {
				String revokedKey = this.revocableKey;
				this.revocableKey = "extra-" + this.configurationVersion;
				recordAction("key " + revokedKey + " removed", 0);
				writeConfiguration();
				this.checker.recordKeyRevocation(revokedKey, elapsedMillis());
			}
		}
	}

	private void injectNetworkFault(String targetName, FaultProxy proxy, FaultProxy.Fault fault, long durationMillis) {
		recordAction(targetName + " " + fault, durationMillis);
		proxy.fault(fault);
		scheduleAction(durationMillis, () -> proxy.fault(FaultProxy.Fault.NONE));
		recordFault(durationMillis);
	}

	private void signal(int hostIndex, String signal) {
		recordAction(this.gateways.get(hostIndex).name() + " SIG" + signal, 0);
		this.gateways.get(hostIndex).signal(signal);
	}

	private void recordFault(long durationMillis) {
		this.checker.recordFault(elapsedMillis(), elapsedMillis() + durationMillis);
	}

	private void scheduleAction(long delayMillis, Runnable action) {
		this.timers.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void recordAction(String action, long durationMillis) {
		this.actions
			.add(elapsedMillis() + " ms: " + action + ((durationMillis > 0) ? " for " + durationMillis + " ms" : ""));
	}

	private void clearFaults() {
		this.timers.shutdownNow();
		Stream.concat(this.storeProxies.stream(), this.endpointProxies.stream())
			.forEach((proxy) -> proxy.fault(FaultProxy.Fault.NONE));
		this.store.fault(StoreStandIn.Fault.NONE);
		this.endpoints.forEach((endpoint) -> endpoint.responseMode(EndpointStandIn.ResponseMode.NORMAL));
		this.gateways.forEach((gateway) -> gateway.signal("CONT"));
	}

	private boolean awaitAllServing(long limitMillis) throws InterruptedException {
		long untilMillis = elapsedMillis() + limitMillis;
		HttpClient client = HttpClient.newHttpClient();
		SplittableRandom pauseRandom = new SplittableRandom(0);
		while (elapsedMillis() < untilMillis) {
			boolean allServing = true;
			for (GatewayProcess gateway : this.gateways) {
				allServing &= gateway.frontPort() > 0
						&& sendRequest(client, gateway, "/book/1", GatewayFleet.API_KEY) == 200;
			}
			if (allServing) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(50 + pauseRandom.nextInt(50));
		}
		return false;
	}

	// A client that keeps its connections and asks without a pause.
	private void sendRequests() {
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		SplittableRandom clientRandom = new SplittableRandom(Thread.currentThread().getId());
		while (!this.finished) {
			GatewayProcess gateway = this.gateways.get(clientRandom.nextInt(this.gateways.size()));
			String key = (clientRandom.nextInt(4) == 0) ? this.revocableKey : GatewayFleet.API_KEY;
			if (gateway.frontPort() > 0) {
				sendRequest(client, gateway, PATHS[clientRandom.nextInt(PATHS.length)], key);
			}
		}
	}

	private int sendRequest(HttpClient client, GatewayProcess gateway, String path, String key) {
		String attempt = "a" + this.attempts.incrementAndGet();
		boolean streaming = path.startsWith("/report") || path.startsWith("/summary");
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + gateway.frontPort() + path))
			.header("X-Attempt-Id", attempt)
			.header("X-Deadline-Ms", "2000")
			.header("Authorization", "Bearer " + key)
			.timeout(Duration.ofSeconds(3));
		if (streaming) {
			request.header("X-Token-Usage", "60,5").header("X-Prompt-Prefix", "aa:60");
		}
		boolean idempotent = path.startsWith("/summary") || path.startsWith("/status");
		this.checker.recordRequest(attempt, idempotent, key, gateway.name(), elapsedMillis());
		try {
			HttpResponse<String> response = client.send(
					request.POST(HttpRequest.BodyPublishers.ofString(attempt)).build(),
					HttpResponse.BodyHandlers.ofString());
			this.checker.recordResponse(attempt, response.statusCode(),
					response.headers().firstValue("X-Attempt-Id").orElse(""),
					response.headers().firstValue("X-Response-Seal").orElse(null), response.body(),
					streaming ? completeStream() : "answer of ledger-0");
			return response.statusCode();
		}
		catch (IOException ex) {
			this.checker.recordFailure(attempt, elapsedMillis());
			return -1;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String completeStream() {
		StringBuilder text = new StringBuilder();
		for (int i = 1; i <= EndpointStandIn.EVENTS_PER_STREAM; i++) {
			text.append("id: ").append(i).append("\ndata: token").append(i).append("\n\n");
		}
		return text.toString();
	}

	private void close() throws IOException {
		this.finished = true;
		this.timers.shutdownNow();
		this.gateways.forEach(GatewayProcess::stop);
		for (FaultProxy proxy : this.storeProxies) {
			proxy.close();
		}
		for (FaultProxy proxy : this.endpointProxies) {
			proxy.close();
		}
		this.endpoints.forEach(EndpointStandIn::kill);
		this.store.stop();
	}

	/**
	 * Runs the soak with one seed after the other and prints what was broken.
	 * @param arguments options with their values
	 * @throws Exception if a run cannot be played
	 */
	public static void main(String[] arguments) throws Exception {
		Map<String, Long> options = new HashMap<>(Map.of("--seed", 1L, "--runs", 1L, "--seconds", 20L, "--hosts", 4L));
		for (int i = 0; i + 1 < arguments.length; i += 2) {
			if (!options.containsKey(arguments[i])) {
				throw new IllegalArgumentException(
						"unknown option " + arguments[i] + "; valid: " + options.keySet().stream().sorted().toList());
			}
			options.put(arguments[i], Long.parseLong(arguments[i + 1]));
		}
		int failed = 0;
		for (long seed = options.get("--seed"); seed < options.get("--seed") + options.get("--runs"); seed++) {
			Report report = run(seed, options.get("--hosts").intValue(), options.get("--seconds").intValue());
			System.out.println(report.summary());
			if (!report.violations().isEmpty()) {
				failed++;
				report.violations().forEach((line) -> System.out.println("  " + line));
				report.actions().forEach((line) -> System.out.println("    " + line));
				System.out.println("  logs: " + report.logDirectory());
			}
		}
		System.out.println(failed + " of " + options.get("--runs") + " runs broke a promise");
		System.exit((failed > 0) ? 1 : 0);
	}

	/**
	 * What a run has shown. Immutable.
	 *
	 * @param seed its seed
	 * @param requests requests that were sent
	 * @param served requests that were answered with success
	 * @param actions what was done to the fleet
	 * @param violations promises that were broken
	 * @param logDirectory folder with the logs of the gateways
	 */
	record Report(long seed, int requests, int served, List<String> actions, List<String> violations,
			String logDirectory) {

		String summary() {
			return "seed " + this.seed + ": " + this.requests + " requests, " + this.served + " served, "
					+ this.actions.size() + " faults, " + this.violations.size() + " promises broken";
		}

	}

}
