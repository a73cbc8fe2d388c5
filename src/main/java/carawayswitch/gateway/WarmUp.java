package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BiFunction;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ConnectionPool;
import carawayswitch.http.HttpRequestParts;
import carawayswitch.http.ResponseListener;

/**
 * Starts a host without a store, asks it once and ends, so that the build can archive the
 * classes that a start loads. Stateless.
 */
public final class WarmUp {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	/** Time in milliseconds for the periodic tasks of the host to run once. */
	private static final long RUN_MILLIS = 600;

	private static final int METRICS_PORT = 39_464;

	private WarmUp() {
	}

	/**
	 * Runs the host on loopback.
	 * @param wire headers of requests and answers
	 * @param platforms creates the adapter to the platform
	 * @throws IOException if no address can be bound
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void run(WireFormat wire, BiFunction<NioReactor, ConnectionPool, Platform> platforms)
			throws IOException, InterruptedException {
		InetSocketAddress front = new InetSocketAddress("127.0.0.1", METRICS_PORT + 1);
		InetSocketAddress free = new InetSocketAddress("127.0.0.1", 0);
		GatewaySettings.Bounds bounds = new GatewaySettings.Bounds(2000, 2000, true, 5000, 1200, 0.2, 20, 10_000, 8000,
				0.1, 0);
		GatewaySettings settings = new GatewaySettings("warm-up", "zone", front, free, free, free, bounds);
		GatewayHost host = GatewayHost.start(settings, METRICS_PORT, wire, platforms);
		ask(front, "/");
		ask(new InetSocketAddress("127.0.0.1", METRICS_PORT), "/metrics");
		Thread.sleep(RUN_MILLIS);
		host.stop().join();
	}

	private static void ask(InetSocketAddress address, String path) {
		Eventloop loop = Eventloop.builder().withTimeProvider(Clocks::steadyMillis).build();
		loop.execute(
				() -> new ConnectionPool(loop, Clocks::steadyMillis).send(
						address, new HttpRequestParts("POST", path,
								new DefaultHttpHeaders().set("Host", "warm-up.example"), new byte[1]),
						new ConnectionPool.Options(TIMEOUT, 0), new IgnoredAnswer(loop)));
		loop.keepAlive(true);
		loop.run();
	}

	/**
	 * Ends the loop with the answer. Confined to the thread of the event loop.
	 */
	private record IgnoredAnswer(Eventloop loop) implements ResponseListener {

		@Override
		public void onHead(HttpResponse response) {
		}

		@Override
		public void onBody(byte[] bytes) {
		}

		@Override
		public void onComplete() {
			end();
		}

		@Override
		public void onFailure(String reason) {
			end();
		}

		@Override
		public void onNotSent(String reason) {
			end();
		}

		private void end() {
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		}

	}

}
