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
 * Time of the path beside a direct call to the same stand-in. Stateless.
 */
final class PathSlope {

	private static final int WARM_UP = 3000;

	private static final int REQUESTS = 4000;

	private static final long READY_MILLIS = 2000;

	private PathSlope() {
	}

	static List<Figures> measure() throws Exception {
		TrialFleet fleet = TrialFleet.start(List.of("zone-a"), Map.of());
		fleet.addHost("host-1", "zone-a");
		TimeUnit.MILLISECONDS.sleep(READY_MILLIS);
		String direct = fleet.statusService().url() + "/x";
		String through = fleet.url("host-1") + "/services/status/x";
		List<Figures> figures = new ArrayList<>();
		for (int connections : new int[] { 1, 64 }) {
			run("direct", direct, connections, WARM_UP);
			run("through a host", through, connections, WARM_UP);
			figures.add(run("direct", direct, connections, REQUESTS));
			figures.add(run("through a host", through, connections, REQUESTS));
		}
		fleet.stop();
		return figures;
	}

	private static Figures run(String name, String url, int connections, int requests)
			throws InterruptedException, ExecutionException, IOException {
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		HttpRequest request = HttpRequest.newBuilder(URI.create(url))
			.header("Authorization", "Bearer " + ExampleConfiguration.token("sabarmati/vapi-yard"))
			.POST(HttpRequest.BodyPublishers.ofString("status"))
			.build();
		Histogram micros = new Histogram(3);
		long start = System.nanoTime();
		List<CompletableFuture<Void>> workers = new ArrayList<>();
		for (int i = 0; i < connections; i++) {
			workers.add(CompletableFuture.runAsync(() -> send(client, request, requests / connections, micros),
					(task) -> new Thread(task).start()));
		}
		for (CompletableFuture<Void> worker : workers) {
			worker.get();
		}
		double seconds = (System.nanoTime() - start) / 1e9;
		return new Figures(name, connections, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99),
				micros.getTotalCount() / seconds);
	}

	private static void send(HttpClient client, HttpRequest request, int count, Histogram micros) {
		for (int i = 0; i < count; i++) {
			long start = System.nanoTime();
			try {
				int status = client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode();
				if (status != 200) {
					throw new IllegalStateException("status " + status);
				}
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
			synchronized (micros) {
				micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
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
	 * @param perSecond requests in a second
	 */
	record Figures(String name, int connections, long medianMicros, long p99Micros, double perSecond) {

	}

}
