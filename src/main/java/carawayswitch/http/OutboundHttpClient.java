package carawayswitch.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

/**
 * HTTP client that records for each failed request whether a connection was ever
 * established for it. Only idempotent requests use keep-alive connections, since the
 * server may close one while a request is in flight. Confined to the thread of its event
 * loop.
 */
public final class OutboundHttpClient {

	private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

	private final Set<HttpRequest> unsentRequests = Collections.newSetFromMap(new IdentityHashMap<>());

	private final HttpClient keepAliveClient;

	private final HttpClient singleUseClient;

	/**
	 * Creates a client.
	 * @param reactor the event loop
	 * @param connectTimeout longest time to establish a connection
	 * @param silenceTimeout longest time without received or sent data, after which the
	 * request fails
	 */
	public OutboundHttpClient(NioReactor reactor, Duration connectTimeout, Duration silenceTimeout) {
		this.keepAliveClient = builder(reactor, connectTimeout, silenceTimeout).withKeepAliveTimeout(KEEP_ALIVE)
			.build();
		this.singleUseClient = builder(reactor, connectTimeout, silenceTimeout).withNoKeepAlive().build();
	}

	private HttpClient.Builder builder(NioReactor reactor, Duration connectTimeout, Duration silenceTimeout) {
		return HttpClient.builder(reactor, new LiteralAddressResolver())
			.withConnectTimeout(connectTimeout)
			.withReadWriteTimeout(silenceTimeout)
			.withInspector(new ConnectFailureRecorder());
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param idempotent true if the request may use a keep-alive connection
	 * @return the response; fails if none is received
	 */
	public Promise<HttpResponse> send(HttpRequest request, boolean idempotent) {
		return (idempotent ? this.keepAliveClient : this.singleUseClient).request(request);
	}

	/**
	 * Returns whether no byte of a failed request was sent, and removes the record of it.
	 * A second call for the same request returns false.
	 * @param request the failed request
	 * @return true if no connection was established for the request
	 */
	public boolean takeNeverSent(HttpRequest request) {
		return this.unsentRequests.remove(request);
	}

	/**
	 * Closes idle connections.
	 */
	public void stop() {
		this.keepAliveClient.stop();
		this.singleUseClient.stop();
	}

	/**
	 * Resolver that accepts only IP address literals and never queries DNS.
	 */
	private static final class LiteralAddressResolver implements IDnsClient {

		@Override
		public Promise<DnsResponse> resolve(DnsQuery query) {
			DnsResponse literal = IDnsClient.resolveFromQuery(query);
			if (literal != null) {
				return Promise.of(literal);
			}
			return Promise.ofException(
					new IllegalArgumentException("host \"" + query.getDomainName() + "\" is not an IP address"));
		}

		@Override
		public void close() {
		}

	}

	/**
	 * Records the requests for which no connection was established.
	 */
	private final class ConnectFailureRecorder implements HttpClient.Inspector {

		@Override
		public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
			OutboundHttpClient.this.unsentRequests.add(request);
		}

		@Override
		public void onResolveError(HttpRequest request, Exception failure) {
			OutboundHttpClient.this.unsentRequests.add(request);
		}

		@Override
		public void onRequest(HttpRequest request) {
		}

		@Override
		public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
		}

		@Override
		public void onResolve(HttpRequest request, DnsResponse response) {
		}

		@Override
		public void onConnecting(HttpRequest request, InetSocketAddress address) {
		}

		@Override
		public void onConnect(HttpRequest request, HttpClientConnection connection) {
		}

		@Override
		public void onHttpResponse(HttpResponse response) {
		}

		@Override
		public void onHttpError(HttpClientConnection connection, Exception failure) {
		}

		@Override
		public void onMalformedHttpResponse(HttpClientConnection connection, MalformedHttpException failure,
				byte[] bytes) {
		}

		@Override
		public void onDisconnect(HttpClientConnection connection) {
		}

		@Override
		public <T extends HttpClient.Inspector> T lookup(Class<T> type) {
			return type.isInstance(this) ? type.cast(this) : null;
		}

	}

}
