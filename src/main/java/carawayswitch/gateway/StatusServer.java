package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.activej.net.SimpleServer;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;

import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;

/**
 * HTTP server for readiness probes and metrics, which answers each request from memory.
 * Confined to the event loop thread.
 */
final class StatusServer implements ServerConnection.Handler {

	/** Limits on requests, which need no body. */
	private static final RequestLimits LIMITS = new RequestLimits(16 * 1024, 1024, 10_000, 60_000);

	private final NioReactor reactor;

	private final Function<String, Response> responder;

	StatusServer(NioReactor reactor, Function<String, Response> responder) {
		this.reactor = reactor;
		this.responder = responder;
	}

	InetSocketAddress listen(InetSocketAddress address) throws IOException {
		SimpleServer server = SimpleServer
			.builder(this.reactor,
					(socket) -> new ServerConnection(socket, this, () -> LIMITS, Clocks::monotonicMillis).start())
			.withListenAddress(address)
			.build();
		server.listen();
		return server.getBoundAddresses().get(0);
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		Response response = this.responder.apply(request.path());
		connection.respond(response.status(), new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
				response.text().getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
	}

	@Override
	public void onClosed(ServerConnection connection) {
	}

	/**
	 * Plain-text response. Immutable.
	 *
	 * @param status HTTP status
	 * @param text body
	 */
	record Response(int status, String text) {

	}

}
