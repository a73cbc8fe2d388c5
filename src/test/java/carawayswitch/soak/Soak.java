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
import carawayswitch.standin.PlatformFleet;
import carawayswitch.standin.PlatformStandIn;
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

	private static final int ENGINES = 3;

	private static final int CLIENTS = 6;

	/** Time until gateways that were all harmed serve again, in milliseconds. */
	private static final long RECOVERY_MILLIS = 12_000;

	private static final long START_MILLIS = 20_000;

	private static final String[] PATHS = { "/report/1", "/summary/1", "/book/1", "/status/1" };

	private final SplittableRandom random;

	private final Path folder = Files.createTempDirectory("soak");

	private final PlatformStandIn store = PlatformStandIn.start();

	private final List<FaultProxy> storeProxies = new ArrayList<>();

	private final List<FaultProxy> endpointProxies = new ArrayList<>();

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private final List<GatewayProcess> gateways = new ArrayList<>();

	private final Promises promises = new Promises();

	private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);

	private final AtomicInteger attempts = new AtomicInteger();

	private final List<String> actions = new ArrayList<>();

	private final long startedAt = MonotonicClock.millis();

	private volatile String extraKey = "extra-0";

	private volatile boolean over;

	private int version = 1;

	private Soak(long seed, int hosts) throws IOException {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < ENGINES; i++) {
			this.endpoints.add(EndpointStandIn.start("engine-" + i, "engine"));
		}
		this.endpoints.add(EndpointStandIn.start("ledger-0", "ledger"));
		configure();
		for (EndpointStandIn endpoint : this.endpoints) {
			this.endpointProxies.add(new FaultProxy(endpoint.address()));
			register(this.endpoints.indexOf(endpoint), "ready");
		}
		for (int i = 0; i < hosts; i++) {
			this.storeProxies.add(new FaultProxy(this.store.address()));
			this.gateways.add(new GatewayProcess("host-" + i, this.folder, this.storeProxies.get(i).address()));
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
			return soak.play(seed, seconds);
		}
		finally {
			soak.end();
		}
	}

	private long now() {
		return MonotonicClock.millis() - this.startedAt;
	}

	private void configure() {
		this.store.put("keyed.op", "config",
				PlatformFleet.configuration(this.version++, PlatformFleet.KEY, this.extraKey));
	}

	private void register(int index, String state) {
		EndpointStandIn endpoint = this.endpoints.get(index);
		this.store.put("keyed.servers", endpoint.id(),
				endpoint.entry(state, this.endpointProxies.get(index).address()));
	}

	private Report play(long seed, int seconds) throws Exception {
		boolean started = allServe(START_MILLIS);
		List<Thread> clients = Stream.generate(() -> new Thread(this::ask)).limit(CLIENTS).toList();
		clients.forEach(Thread::start);
		long until = now() + TimeUnit.SECONDS.toMillis(seconds);
		while (now() < until) {
			act();
			TimeUnit.MILLISECONDS.sleep(100 + this.random.nextInt(700));
		}
		heal();
		boolean recovered = allServe(RECOVERY_MILLIS);
		this.over = true;
		for (Thread client : clients) {
			client.join();
		}
		List<String> broken = new ArrayList<>(this.promises
			.broken(this.endpoints.stream().flatMap((each) -> each.runs().stream()).map(Map.Entry::getKey).toList()));
		if (!started) {
			broken.add("not all gateways served after the start");
		}
		if (!recovered) {
			broken.add("not all gateways served again " + RECOVERY_MILLIS + " ms after the last fault");
		}
		return new Report(seed, this.promises.count(), this.promises.served(), this.actions, broken,
				this.folder.toString());
	}

	private void act() {
		long length = 200 + this.random.nextInt(2500);
		int host = this.random.nextInt(this.gateways.size());
		int endpoint = this.random.nextInt(this.endpoints.size());
		FaultProxy.Harm harm = FaultProxy.Harm.values()[1 + this.random.nextInt(4)];
		switch (this.random.nextInt(10)) {
			case 0 -> harm("store of host-" + host, this.storeProxies.get(host), harm, length);
			case 1, 2 -> harm(this.endpoints.get(endpoint).id(), this.endpointProxies.get(endpoint), harm, length);
			case 3 -> {
				signal(host, "STOP");
				later(length, () -> this.gateways.get(host).signal("CONT"));
				fault(length);
			}
			case 4 -> {
				signal(host, "KILL");
				fault(0);
			}
			case 5 -> {
				this.promises.stopped(this.gateways.get(host).name(), now());
				signal(host, "TERM");
			}
			case 6 -> signal(host, "HUP");
			case 7 -> {
				PlatformStandIn.Fault kind = PlatformStandIn.Fault.values()[1 + this.random.nextInt(4)];
				note("store " + kind, length);
				this.store.fault(kind);
				later(length, () -> this.store.fault(PlatformStandIn.Fault.NONE));
			}
			case 8 -> {
				EndpointStandIn.Manner manner = EndpointStandIn.Manner.values()[1 + this.random.nextInt(5)];
				note(this.endpoints.get(endpoint).id() + " " + manner, length);
				this.endpoints.get(endpoint).manner(manner);
				later(length, () -> this.endpoints.get(endpoint).manner(EndpointStandIn.Manner.NORMAL));
				fault(length);
			}
			default -> {
				String old = this.extraKey;
				this.extraKey = "extra-" + this.version;
				note("key " + old + " removed", 0);
				configure();
				this.promises.revoked(old, now());
			}
		}
	}

	private void harm(String what, FaultProxy proxy, FaultProxy.Harm harm, long length) {
		note(what + " " + harm, length);
		proxy.harm(harm);
		later(length, () -> proxy.harm(FaultProxy.Harm.NONE));
		fault(length);
	}

	private void signal(int host, String signal) {
		note(this.gateways.get(host).name() + " SIG" + signal, 0);
		this.gateways.get(host).signal(signal);
	}

	private void fault(long length) {
		this.promises.fault(now(), now() + length);
	}

	private void later(long millis, Runnable action) {
		this.timers.schedule(action, millis, TimeUnit.MILLISECONDS);
	}

	private void note(String action, long length) {
		this.actions.add(now() + " ms: " + action + ((length > 0) ? " for " + length + " ms" : ""));
	}

	private void heal() {
		this.timers.shutdownNow();
		Stream.concat(this.storeProxies.stream(), this.endpointProxies.stream())
			.forEach((proxy) -> proxy.harm(FaultProxy.Harm.NONE));
		this.store.fault(PlatformStandIn.Fault.NONE);
		this.endpoints.forEach((endpoint) -> endpoint.manner(EndpointStandIn.Manner.NORMAL));
		this.gateways.forEach((gateway) -> gateway.signal("CONT"));
	}

	private boolean allServe(long limitMillis) throws InterruptedException {
		long until = now() + limitMillis;
		HttpClient client = HttpClient.newHttpClient();
		SplittableRandom own = new SplittableRandom(0);
		while (now() < until) {
			boolean all = true;
			for (GatewayProcess gateway : this.gateways) {
				all &= gateway.frontPort() > 0 && ask(client, gateway, "/book/1", PlatformFleet.KEY) == 200;
			}
			if (all) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(50 + own.nextInt(50));
		}
		return false;
	}

	// A client that keeps its connections and asks without a pause.
	private void ask() {
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		SplittableRandom own = new SplittableRandom(Thread.currentThread().getId());
		while (!this.over) {
			GatewayProcess gateway = this.gateways.get(own.nextInt(this.gateways.size()));
			String key = (own.nextInt(4) == 0) ? this.extraKey : PlatformFleet.KEY;
			if (gateway.frontPort() > 0) {
				ask(client, gateway, PATHS[own.nextInt(PATHS.length)], key);
			}
		}
	}

	private int ask(HttpClient client, GatewayProcess gateway, String path, String key) {
		String attempt = "a" + this.attempts.incrementAndGet();
		boolean stream = path.startsWith("/report") || path.startsWith("/summary");
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + gateway.frontPort() + path))
			.header("X-Attempt-Id", attempt)
			.header("X-Deadline-Ms", "2000")
			.header("Authorization", "Bearer " + key)
			.timeout(Duration.ofSeconds(3));
		if (stream) {
			request.header("X-Token-Usage", "60,5").header("X-Prompt-Prefix", "aa:60");
		}
		boolean repeatable = path.startsWith("/summary") || path.startsWith("/status");
		this.promises.asked(attempt, repeatable, key, gateway.name(), now());
		try {
			HttpResponse<String> answer = client.send(
					request.POST(HttpRequest.BodyPublishers.ofString(attempt)).build(),
					HttpResponse.BodyHandlers.ofString());
			this.promises.answered(attempt, answer.statusCode(), answer.headers().firstValue("X-Attempt-Id").orElse(""),
					answer.headers().firstValue("X-Response-Seal").orElse(null), answer.body(),
					stream ? wholeStream() : "answer of ledger-0");
			return answer.statusCode();
		}
		catch (IOException ex) {
			this.promises.failed(attempt, now());
			return -1;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String wholeStream() {
		StringBuilder text = new StringBuilder();
		for (int i = 1; i <= EndpointStandIn.EVENTS; i++) {
			text.append("id: ").append(i).append("\ndata: token").append(i).append("\n\n");
		}
		return text.toString();
	}

	private void end() throws IOException {
		this.over = true;
		this.timers.shutdownNow();
		this.gateways.forEach(GatewayProcess::end);
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
			System.out.println(report.line());
			if (!report.broken().isEmpty()) {
				failed++;
				report.broken().forEach((line) -> System.out.println("  " + line));
				report.actions().forEach((line) -> System.out.println("    " + line));
				System.out.println("  logs: " + report.logs());
			}
		}
		System.out.println(failed + " of " + options.get("--runs") + " runs broke a promise");
		System.exit((failed > 0) ? 1 : 0);
	}

	/**
	 * What a run has shown. Immutable.
	 *
	 * @param seed its seed
	 * @param asked requests that were sent
	 * @param served requests that were answered with success
	 * @param actions what was done to the fleet
	 * @param broken promises that were broken
	 * @param logs folder with the logs of the gateways
	 */
	record Report(long seed, int asked, int served, List<String> actions, List<String> broken, String logs) {

		String line() {
			return "seed " + this.seed + ": " + this.asked + " requests, " + this.served + " served, "
					+ this.actions.size() + " faults, " + this.broken.size() + " promises broken";
		}

	}

}
