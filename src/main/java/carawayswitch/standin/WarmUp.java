package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import carawayswitch.gateway.GatewayHost;

/**
 * Serves a request of each kind with stand-ins and ends, so that the build can archive
 * the classes that a host loads. Stateless.
 */
public final class WarmUp {

	private static final int OK = 200;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

	private static final long POLL_INTERVAL_MILLIS = 50;

	private WarmUp() {
	}

	/**
	 * Runs a host and asks it.
	 * @throws IOException if a port cannot be bound or the host does not become ready
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void run() throws IOException, InterruptedException {
		GatewayFleet fleet = GatewayFleet.start(1);
		GatewayHost host = fleet.addHost(0);
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		awaitReady(client, host);
		awaitReady(client, fleet.host(0));
		for (String path : new String[] { "/report/1", "/summary/1", "/book/1", "/status/1", "/none/1" }) {
			sendRequest(client, host.frontAddress(), path);
			sendRequest(client, fleet.host(0).frontAddress(), path);
		}
		sendRequest(client, host.metricsAddress(), "/metrics");
		host.stop().join();
		fleet.stop();
	}

	private static void awaitReady(HttpClient client, GatewayHost host) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
		while (sendRequest(client, host.readinessAddress(), "/ready") != OK) {
			if (System.nanoTime() > deadline) {
				throw new IOException("the host is not ready after " + READY_TIMEOUT);
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

}
