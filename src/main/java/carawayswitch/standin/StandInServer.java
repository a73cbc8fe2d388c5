package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionException;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;

/**
 * HTTP server of a stand-in on an event loop and thread of its own. Safe for use by
 * several threads.
 */
final class StandInServer {

	private final Eventloop loop;

	private final HttpServer server;

	private StandInServer(Eventloop loop, HttpServer server) {
		this.loop = loop;
		this.server = server;
	}

	static StandInServer start(String name, InetSocketAddress address, ServletFactory factory) throws IOException {
		Eventloop loop = Eventloop.create();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, name);
		thread.setDaemon(true);
		thread.start();
		HttpServer server = HttpServer.builder(loop, factory.servlet(loop)).withListenAddress(address).build();
		try {
			loop.submit(server::listen).join();
		}
		catch (CompletionException ex) {
			loop.keepAlive(false);
			throw new IOException(ex.getCause());
		}
		return new StandInServer(loop, server);
	}

	static Promise<HttpResponse> json(int status, byte[] body) {
		return Promise.of(HttpResponse.ofCode(status)
			.withHeader(io.activej.http.HttpHeaders.CONTENT_TYPE, "application/json")
			.withBody(body)
			.build());
	}

	static Promise<HttpResponse> delayed(Eventloop loop, long millis, Promise<HttpResponse> response) {
		return (millis <= 0) ? response : response
			.then((value) -> Promise.ofCallback((callback) -> loop.delayBackground(millis, () -> callback.set(value))));
	}

	Eventloop loop() {
		return this.loop;
	}

	InetSocketAddress address() {
		return this.server.getBoundAddresses().get(0);
	}

	String url() {
		return "http://" + address().getHostString() + ":" + address().getPort();
	}

	void stop() {
		this.loop.execute(() -> {
			this.server.close();
			if (this.loop.getSelector() != null) {
				this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			}
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	/**
	 * Creates the servlet of a stand-in.
	 */
	interface ServletFactory {

		AsyncServlet servlet(Eventloop loop);

	}

}
