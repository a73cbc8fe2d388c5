package carawayswitch.slopes;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

import carawayswitch.standin.ExampleConfiguration;
import carawayswitch.standin.TrialFleet;

/**
 * Compares the latency of requests through a host with direct requests to the same
 * stand-in service. Stateless.
 */
final class ProxyOverhead {

	private static final int WARM_UP_REQUESTS = 3000;

	private static final int MEASURED_REQUESTS = 4000;

	private static final long STARTUP_MILLIS = 2000;

	private ProxyOverhead() {
	}

	/**
	 * Starts a fleet of one host, measures the latency with 1 and 64 connections and
	 * stops the fleet. Each path is warmed up first.
	 * @return latency figures for each path and number of connections
	 * @throws Exception if the fleet cannot be started or a request fails
	 */
	static List<Figures> measure() throws Exception {
		TrialFleet fleet = TrialFleet.start(List.of("zone-a"), Map.of());
		fleet.addHost("host-1", "zone-a");
		TimeUnit.MILLISECONDS.sleep(STARTUP_MILLIS);
		String directUrl = fleet.statusService().url() + "/x";
		String proxiedUrl = fleet.url("host-1") + "/services/status/x";
		List<Figures> figures = new ArrayList<>();
		for (int connections : new int[] { 1, 64 }) {
			run("direct", directUrl, connections, WARM_UP_REQUESTS);
			run("through a host", proxiedUrl, connections, WARM_UP_REQUESTS);
			figures.add(run("direct", directUrl, connections, MEASURED_REQUESTS));
			figures.add(run("through a host", proxiedUrl, connections, MEASURED_REQUESTS));
		}
		fleet.stop();
		return figures;
	}

	private static Figures run(String name, String url, int connections, int requests)
			throws InterruptedException, ExecutionException, IOException {
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		HttpRequest request = HttpRequest.newBuilder(URI.create(url))
			.header("Authorization", "Bearer " + ExampleConfiguration.token("north/vapi-yard"))
			.POST(HttpRequest.BodyPublishers.ofString("status"))
			.build();
		Histogram latencyMicros = new Histogram(3);
		long startNanos = System.nanoTime();
		List<CompletableFuture<Void>> workers = new ArrayList<>();
		for (int i = 0; i < connections; i++) {
			workers.add(CompletableFuture.runAsync(() -> send(client, request, requests / connections, latencyMicros),
					(task) -> new Thread(task).start()));
		}
		for (CompletableFuture<Void> worker : workers) {
			worker.get();
		}
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		return new Figures(name, connections, latencyMicros.getValueAtPercentile(50),
				latencyMicros.getValueAtPercentile(99), latencyMicros.getTotalCount() / seconds);
	}

	private static void send(HttpClient client, HttpRequest request, int count, Histogram latencyMicros) {
		for (int i = 0; i < count; i++) {
			long startNanos = System.nanoTime();
			try {
				int status = client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode();
				if (status != 200) {
					throw new IllegalStateException(
							"request to " + request.uri() + " returned status " + status + ", expected 200");
				}
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
			synchronized (latencyMicros) {
				latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
			}
		}
	}

	/**
	 * Latency and throughput of one path. Immutable.
	 *
	 * @param name name of the path
	 * @param connections number of concurrent requests
	 * @param medianMicros median latency in microseconds
	 * @param p99Micros 99th percentile of the latency in microseconds
	 * @param requestsPerSecond throughput in requests per second
	 */
	record Figures(String name, int connections, long medianMicros, long p99Micros, double requestsPerSecond) {

	}

}
