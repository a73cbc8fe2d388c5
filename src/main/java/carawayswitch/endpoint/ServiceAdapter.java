package carawayswitch.endpoint;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;

import carawayswitch.http.OutboundHttpClient;

/**
 * HTTP client of a plain service. Forwards answers unchanged; supports neither
 * cancellation nor resumption. Confined to the thread of the endpoint's event loop.
 */
public final class ServiceAdapter implements EndpointAdapter {

	private final OutboundHttpClient caller;

	private final String address;

	/**
	 * Creates an adapter.
	 * @param caller client that sends the requests
	 * @param address base URL of the service
	 */
	public ServiceAdapter(OutboundHttpClient caller, String address) {
		this.caller = caller;
		this.address = address;
	}

	@Override
	public void send(EndpointCall call, AnswerListener listener) {
		HttpRequest.Builder builder = HttpRequest.builder(HttpMethod.valueOf(call.method()),
				this.address + call.path());
		builder.withHeader(EngineAdapter.REQUEST_ID, call.attemptId());
		if (!call.contentType().isEmpty()) {
			builder.withHeader(HttpHeaders.CONTENT_TYPE, call.contentType());
		}
		if (!call.idempotencyKey().isEmpty()) {
			builder.withHeader(EngineAdapter.IDEMPOTENCY_KEY, call.idempotencyKey());
		}
		HttpRequest request = builder.withBody(call.body()).build();
		this.caller.send(request, call.idempotent()).subscribe((response, failure) -> {
			if (failure == null) {
				forwardResponse(response, listener);
			}
			else if (this.caller.takeNeverSent(request)) {
				listener.onNeverSent(String.valueOf(failure.getMessage()));
			}
			else {
				listener.onInterrupted(String.valueOf(failure.getMessage()));
			}
		});
	}

	private void forwardResponse(HttpResponse response, AnswerListener listener) {
		String contentType = response.getHeader(HttpHeaders.CONTENT_TYPE);
		listener.onHead(response.getCode(), (contentType != null) ? contentType : "");
		BodyReader.read(response.takeBodyStream(), new BodyReader.ChunkConsumer() {
			@Override
			public void onChunk(byte[] chunk) {
				listener.onBody(chunk, 0);
			}

			@Override
			public void onEnd() {
				listener.onComplete();
			}

			@Override
			public void onFailure(String reason) {
				listener.onInterrupted(reason);
			}
		});
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
