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

import carawayswitch.standin.ExampleFleets;
import carawayswitch.standin.TrialFleet;

/**
 * Time of the path beside a direct call to the same stand-in. Stateless.
 */
final class ProxyOverhead {

	private static final int WARM_UP_REQUESTS = 3000;

	private static final int MEASURED_REQUESTS = 4000;

	private static final long STARTUP_MILLIS = 2000;

	private ProxyOverhead() {
	}

	static List<Figures> measure() throws Exception {
		TrialFleet fleet = TrialFleet.start(List.of("zone-a"), Map.of());
		fleet.addHost("host-1", "zone-a");
		TimeUnit.MILLISECONDS.sleep(STARTUP_MILLIS);
		String directUrl = fleet.status().url() + "/x";
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
			.header("Authorization", "Bearer " + ExampleFleets.token("sabarmati/vapi-yard"))
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
					throw new IllegalStateException("status " + status);
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
	 * Figures of one way. Immutable.
	 *
	 * @param name name of the way
	 * @param connections number of requests at once
	 * @param medianMicros median time in microseconds
	 * @param p99Micros time that 99 in 100 stay below, in microseconds
	 * @param requestsPerSecond requests in a second
	 */
	record Figures(String name, int connections, long medianMicros, long p99Micros, double requestsPerSecond) {

	}

}
