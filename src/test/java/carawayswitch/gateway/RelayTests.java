package carawayswitch.gateway;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import carawayswitch.Await;
import carawayswitch.standin.GatewayFleet;
import carawayswitch.standin.StoreStandIn;

/**
 * Tests, on real sockets, a fleet that is large enough for hosts to relay records of the
 * store. They guard against fleets in which every host reads the store, hosts that miss
 * changes once their relays have failed, and requests with keys that are served on an
 * outdated configuration.
 */
class RelayTests {

	private static final int HOSTS = 12;

	private static final long TIMEOUT_MILLIS = 30_000;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private GatewayFleet fleet;

	private int nextAttemptId;

	@BeforeEach
	void start() throws Exception {
		this.fleet = GatewayFleet.start(HOSTS);
		await(() -> allRespond(HOSTS, GatewayFleet.API_KEY, 200));
	}

	@AfterEach
	void stop() {
		this.fleet.stop();
	}

	private static void await(BooleanSupplier condition) {
		Await.until(Duration.ofMillis(TIMEOUT_MILLIS), condition);
	}

	private int status(int host, String key) {
		var address = this.fleet.host(host).frontAddress();
		URI uri = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/book/1");
		HttpRequest request = HttpRequest.newBuilder(uri)
			.header("X-Attempt-Id", "attempt-" + this.nextAttemptId++)
			.header("X-Deadline-Ms", "3000")
			.header("Authorization", "Bearer " + key)
			.build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		}
		catch (Exception ex) {
			return -1;
		}
	}

	private boolean allRespond(int hosts, String key, int status) {
		return IntStream.range(0, hosts).allMatch((host) -> status(host, key) == status);
	}

	@Test
	void mostHostsReceiveChangesWithoutReadingTheStore() {
		await(() -> countReadersDuring(20) <= HOSTS / 2);
		this.fleet.writeConfiguration("second-key");
		await(() -> allRespond(HOSTS, "second-key", 200) && allRespond(HOSTS, GatewayFleet.API_KEY, 401));
	}

	// Counts the connections on which endpoints are read during the given number of
	// calls to the store. Reads of configurations are not counted, since every host also
	// reads the store to confirm a configuration that becomes old.
	private int countReadersDuring(int calls) {
		this.fleet.store().clearTopicReaders();
		long before = this.fleet.store().callCount();
		await(() -> this.fleet.store().callCount() > before + calls);
		return this.fleet.store().topicReaders("keyed.servers").size();
	}

	@Test
	void configurationReachesSurvivingHostsAfterTheRelayHostsAreKilled() {
		await(() -> countReadersDuring(20) <= HOSTS / 2);
		List<Integer> killed = IntStream.range(0, HOSTS / 2).boxed().toList();
		killed.forEach((host) -> this.fleet.host(host).kill());
		this.fleet.writeConfiguration("third-key");
		await(() -> IntStream.range(HOSTS / 2, HOSTS).allMatch((host) -> status(host, "third-key") == 200));
	}

	@Test
	void requestsWithKeysAreRefusedDuringALongStoreOutageAndServedAfterwards() {
		this.fleet.store().fault(StoreStandIn.Fault.HANG);
		await(() -> allRespond(HOSTS, GatewayFleet.API_KEY, 503));
		this.fleet.store().fault(StoreStandIn.Fault.NONE);
		await(() -> allRespond(HOSTS, GatewayFleet.API_KEY, 200));
	}

}
