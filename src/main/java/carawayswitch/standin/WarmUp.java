package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.gateway.GatewayHost;
import carawayswitch.http.Json;

/**
 * Training run for the class data archive: two gateway hosts serve a request to each of
 * several routes against stand-ins, so that the build can archive the classes that a host
 * loads. Stateless.
 */
public final class WarmUp {

	private static final int OK = 200;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

	private static final long POLL_INTERVAL_MILLIS = 50;

	/** Time in milliseconds within which hosts have reported their use of caps. */
	private static final long REPORT_MILLIS = 500;

	private static final String[] PATHS = { "/report/1", "/summary/1", "/book/1", "/status/1", "/none/1" };

	private WarmUp() {
	}

	/**
	 * Starts the fleet, sends the requests and stops it.
	 * @param starter starts a host as a process of its own does
	 * @throws IOException if a port cannot be bound or the host does not become ready
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void run(HostStarter starter) throws IOException, InterruptedException {
		GatewayFleet fleet = GatewayFleet.start(1);
		GatewayHost host = startFromFile(starter, "host-1", fleet.store().address());
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		List<GatewayHost> hosts = List.of(fleet.host(0), host);
		for (GatewayHost each : hosts) {
			await("status 200 at " + each.readinessAddress() + "/ready",
					() -> sendRequest(client, each.readinessAddress(), "/ready") == OK);
		}
		await("one owner of the pools", () -> hosts.stream().filter(GatewayHost::ownsPools).count() == 1);
		for (String path : PATHS) {
			for (GatewayHost each : hosts) {
				sendRequest(client, each.frontAddress(), path);
			}
		}
		Thread.sleep(REPORT_MILLIS);
		sendRequest(client, host.metricsAddress(), "/metrics");
		GatewayHost owner = fleet.host(0).ownsPools() ? fleet.host(0) : host;
		GatewayHost successor = (owner != host) ? host : fleet.host(0);
		CompletableFuture<Void> stopped = owner.stop();
		await("the other host to own the pools", successor::ownsPools);
		for (String path : PATHS) {
			sendRequest(client, successor.frontAddress(), path);
		}
		stopped.join();
		host.kill();
		fleet.stop();
		refuseWithoutStore(starter, client, fleet.store().address());
	}

	private static GatewayHost startFromFile(HostStarter starter, String name, InetSocketAddress store)
			throws IOException {
		ObjectNode boot = Json.object()
			.put("node-name", name)
			.put("cluster", GatewayFleet.CLUSTER_NAME)
			.put("zone", "a")
			.put("ip", "127.0.0.1");
		boot.putObject("listen").put("front", "127.0.0.1:0").put("readiness", "127.0.0.1:0");
		boot.putArray("internal-port-range").add(0).add(0);
		boot.putObject("platform").put("address", store.getHostString() + ":" + store.getPort());
		boot.putObject("limits").put("cpu-share", 0.5).put("cpu-cores", 1.5);
		boot.putObject("bounds").put("revoke-ms", GatewayFleet.REVOCATION_MILLIS).put("grace-s", 4.0);
		Path file = Files.createTempFile("carawayswitch-warm-up", ".json");
		try {
			Files.write(file, Json.bytes(boot));
			return starter.start(file);
		}
		finally {
			Files.delete(file);
		}
	}

	// A host that does not reach the store refuses requests.
	private static void refuseWithoutStore(HostStarter starter, HttpClient client, InetSocketAddress stoppedStore)
			throws IOException, InterruptedException {
		GatewayHost host = startFromFile(starter, "host-2", stoppedStore);
		sendRequest(client, host.frontAddress(), PATHS[0]);
		Thread.sleep(REPORT_MILLIS);
		host.kill();
	}

	private static void await(String awaited, Condition condition) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
		while (!condition.holds()) {
			if (System.nanoTime() > deadline) {
				throw new IOException("no " + awaited + " after " + READY_TIMEOUT);
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static int sendRequest(HttpClient client, InetSocketAddress address, String path)
			throws IOException, InterruptedException {
		URI uri = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path);
		HttpRequest.Builder request = HttpRequest.newBuilder(uri)
			.header("X-Attempt-Id", "warm-up-" + address.getPort() + path)
			.header("X-Deadline-Ms", "5000")
			.header("Authorization", "Bearer " + GatewayFleet.API_KEY);
		if (path.startsWith("/report") || path.startsWith("/summary")) {
			request.header("X-Token-Usage", "600,50").header("X-Prompt-Prefix", "aa:60,bb:540");
		}
		return client
			.send(request.POST(HttpRequest.BodyPublishers.ofString("body")).build(),
					HttpResponse.BodyHandlers.ofString())
			.statusCode();
	}

	/**
	 * Starts a host from a settings file.
	 */
	public interface HostStarter {

		/**
		 * Starts a host.
		 * @param file the settings file
		 * @return the running host
		 * @throws IOException if the file cannot be read or an address cannot be bound
		 */
		GatewayHost start(Path file) throws IOException;

	}

	private interface Condition {

		boolean holds() throws IOException, InterruptedException;

	}

}
