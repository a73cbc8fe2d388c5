package carawayswitch.endpoint;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.OutboundHttpClient;
import carawayswitch.http.OutgoingRequest;

/**
 * HTTP client of a plain service. Forwards answers unchanged; supports neither
 * cancellation nor resumption. Confined to the thread of the endpoint's event loop.
 */
public final class ServiceAdapter implements EndpointAdapter {

	private final OutboundHttpClient httpClient;

	private final String address;

	/**
	 * Creates an adapter.
	 * @param httpClient client that sends the requests
	 * @param address base URL of the service
	 */
	public ServiceAdapter(OutboundHttpClient httpClient, String address) {
		this.httpClient = httpClient;
		this.address = address;
	}

	@Override
	public void send(EndpointCall call, AnswerListener listener) {
		HttpHeaders headers;
		try {
			headers = headers(call);
		}
		catch (IllegalArgumentException ex) {
			listener.onNeverSent(ex.getMessage());
			return;
		}
		OutgoingRequest request = new OutgoingRequest(call.method(), call.path(), headers, call.body());
		this.httpClient.send(this.address, request, call.idempotent() ? call.attemptId() : null,
				new AnswerForwarder(listener));
	}

	private static HttpHeaders headers(EndpointCall call) {
		HttpHeaders headers = new DefaultHttpHeaders().set(EngineAdapter.REQUEST_ID, call.attemptId());
		if (!call.contentType().isEmpty()) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
		}
		if (!call.idempotencyKey().isEmpty()) {
			headers.set(EngineAdapter.IDEMPOTENCY_KEY, call.idempotencyKey());
		}
		return headers;
	}

	@Override
	public void cancel(String attemptId) {
	}

	@Override
	public void resume(String attemptId, int receivedTokens, AnswerListener listener) {
		listener.onInterrupted("a plain service does not support resumption");
	}

	@Override
	public boolean resumable() {
		return false;
	}

}
