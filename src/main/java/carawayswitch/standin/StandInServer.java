package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionException;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;

/**
 * HTTP server of a stand-in, with its own event loop and daemon thread. Thread-safe.
 */
final class StandInServer {

	private final Eventloop loop;

	/** Header that names the request, in responses as in requests. */
	static final HttpHeader REQUEST_ID_HEADER = HttpHeaders.of("X-Request-Id");

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
			.withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
			.withBody(body)
			.build());
	}

	/**
	 * Names the request in its response, so that the host reuses the connection.
	 * @param response the response
	 * @param request the request
	 * @return the response
	 */
	static HttpResponse.Builder named(HttpResponse.Builder response, HttpRequest request) {
		String id = request.getHeader(REQUEST_ID_HEADER);
		return (id != null) ? response.withHeader(REQUEST_ID_HEADER, id) : response;
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
	 * Creates the request handler of a stand-in for its event loop.
	 */
	interface ServletFactory {

		AsyncServlet servlet(Eventloop loop);

	}

}
