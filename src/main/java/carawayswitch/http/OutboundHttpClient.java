package carawayswitch.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.NetUtil;

import carawayswitch.log.DecisionLog;
import carawayswitch.time.CheckAfterInput;

/**
 * HTTP client of servers that may name the request in their responses. Invariant: a
 * connection is reused only if each response on it has named its request, since a surplus
 * response could not be told from the response to the next request otherwise. Confined to
 * the thread of its event loop.
 *
 * <pre>
 * client.send("http://127.0.0.1:8000", new OutgoingRequest("POST", "/path", headers, body), "id", listener);
 * </pre>
 */
public final class OutboundHttpClient {

	/** Header that names the request, in responses as in requests. */
	private static final String REQUEST_ID = "X-Request-Id";

	private static final long MAX_IDLE_MILLIS = 30_000;

	private final ConnectionPool pool;

	private final NioReactor reactor;

	private final LongSupplier monotonicMillis;

	private final Duration connectTimeout;

	private final long silenceTimeoutMillis;

	/**
	 * Creates a client.
	 * @param reactor the event loop
	 * @param monotonicMillis source of the monotonic time in milliseconds
	 * @param log receives a line when surplus input of a server is skipped or ends a
	 * connection
	 * @param connectTimeout longest time to establish a connection
	 * @param silenceTimeout longest time without received data, after which the request
	 * fails
	 */
	public OutboundHttpClient(NioReactor reactor, LongSupplier monotonicMillis, DecisionLog log,
			Duration connectTimeout, Duration silenceTimeout) {
		this.reactor = reactor;
		this.monotonicMillis = monotonicMillis;
		this.pool = new ConnectionPool(reactor, monotonicMillis, log);
		this.connectTimeout = connectTimeout;
		this.silenceTimeoutMillis = silenceTimeout.toMillis();
	}

	/**
	 * Sends a request.
	 * @param baseUrl base URL with an IP address and a port, and perhaps a path
	 * @param request the request, whose target is appended to the base URL
	 * @param requestId id of the request, or null if it must have a connection of its own
	 * @param listener receives the response
	 */
	public void send(String baseUrl, OutgoingRequest request, String requestId, ResponseListener listener) {
		InetSocketAddress address;
		String target;
		try {
			URI base = URI.create(baseUrl);
			address = literalAddress(base);
			target = (base.getRawPath() + request.target()).isEmpty() ? "/" : base.getRawPath() + request.target();
			request.headers().set(HttpHeaderNames.HOST, base.getRawAuthority());
			if (requestId != null) {
				request.headers().set(REQUEST_ID, requestId);
			}
			else {
				request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
		}
		catch (IllegalArgumentException ex) {
			listener.onNotSent("the request cannot be sent: " + ex.getMessage());
			return;
		}
		NamedResponseListener namedListener = new NamedResponseListener(requestId, listener);
		namedListener.call = this.pool.send(address,
				new OutgoingRequest(request.method(), target, request.headers(), request.body()),
				new ConnectionPool.Options(this.connectTimeout, (requestId != null) ? MAX_IDLE_MILLIS : 0, requestId),
				namedListener);
		namedListener.scheduleSilenceCheck(this.silenceTimeoutMillis);
	}

	// Never queries DNS, which would block the event loop.
	private static InetSocketAddress literalAddress(URI url) {
		byte[] ip = (url.getHost() != null) ? NetUtil.createByteArrayFromIpAddressString(url.getHost()) : null;
		if (ip == null || url.getPort() < 0) {
			throw new IllegalArgumentException(url + " has no IP address or no port");
		}
		try {
			return new InetSocketAddress(InetAddress.getByAddress(ip), url.getPort());
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	/**
	 * Sends a request without headers on a connection of its own and collects the
	 * response.
	 * @param baseUrl base URL with an IP address and a port, and perhaps a path
	 * @param method name of the HTTP method
	 * @param target path and query, which are appended to the base URL
	 * @param body body
	 * @return the complete response; fails if there is none
	 */
	public Promise<CollectedResponse> call(String baseUrl, String method, String target, byte[] body) {
		SettablePromise<CollectedResponse> result = new SettablePromise<>();
		send(baseUrl, new OutgoingRequest(method, target, new DefaultHttpHeaders(), body), null,
				new ResponseCollector(result));
		return result;
	}

	/**
	 * Tells by the id in the head whether a response belongs to the request. A response
	 * without one does, unless another request was sent on the connection before. Ends
	 * the request after a time of silence.
	 */
	private final class NamedResponseListener implements ResponseListener {

		private final String requestId;

		private final ResponseListener listener;

		private ConnectionPool.Call call;

		private long lastProgressAt = OutboundHttpClient.this.monotonicMillis.getAsLong();

		private boolean ended;

		private ScheduledRunnable silenceTimer;

		private final CheckAfterInput silenceCheck = CheckAfterInput.on(OutboundHttpClient.this.reactor,
				this::checkSilence);

		NamedResponseListener(String requestId, ResponseListener listener) {
			this.requestId = requestId;
			this.listener = listener;
		}

		@Override
		public boolean accepts(HttpResponse response) {
			return this.requestId == null || !response.headers().contains(REQUEST_ID) || allowsReuse(response);
		}

		@Override
		public boolean allowsReuse(HttpResponse response) {
			List<String> ids = response.headers().getAll(REQUEST_ID);
			return ids.size() == 1 && ids.get(0).equals(this.requestId);
		}

		private void scheduleSilenceCheck(long millis) {
			if (!this.ended) {
				this.silenceTimer = OutboundHttpClient.this.reactor.delayBackground(millis,
						() -> this.silenceCheck.request(OutboundHttpClient.this.monotonicMillis.getAsLong()));
			}
		}

		private void end() {
			this.ended = true;
			this.silenceCheck.cancel();
			if (this.silenceTimer != null) {
				this.silenceTimer.cancel();
			}
		}

		private void checkSilence(long now) {
			long silentMillis = now - this.lastProgressAt;
			long remainingMillis = OutboundHttpClient.this.silenceTimeoutMillis - silentMillis;
			if (remainingMillis > 0) {
				scheduleSilenceCheck(remainingMillis);
			}
			else {
				this.call.cancel();
				onFailure("no data within " + OutboundHttpClient.this.silenceTimeoutMillis + " ms");
			}
		}

		@Override
		public void onHead(HttpResponse response) {
			this.lastProgressAt = OutboundHttpClient.this.monotonicMillis.getAsLong();
			if (this.call.reused() && !allowsReuse(response)) {
				this.call.cancel();
				onFailure("a response names no request, unlike an earlier one on the connection");
				return;
			}
			this.listener.onHead(response);
		}

		@Override
		public void onBody(byte[] bytes) {
			this.lastProgressAt = OutboundHttpClient.this.monotonicMillis.getAsLong();
			this.listener.onBody(bytes);
		}

		@Override
		public void onPartialChunk() {
			this.lastProgressAt = OutboundHttpClient.this.monotonicMillis.getAsLong();
		}

		@Override
		public void onComplete() {
			end();
			this.listener.onComplete();
		}

		@Override
		public void onFailure(String reason) {
			end();
			this.listener.onFailure(reason);
		}

		@Override
		public void onNotSent(String reason) {
			end();
			this.listener.onNotSent(reason);
		}

	}

}
