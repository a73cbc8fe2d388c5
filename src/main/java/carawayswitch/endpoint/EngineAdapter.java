package carawayswitch.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.Json;
import carawayswitch.http.OutboundHttpClient;
import carawayswitch.http.OutgoingRequest;
import carawayswitch.log.LogEvent;

/**
 * Client of an engine's HTTP API. Successful answers are event streams, which are
 * complete only if they end with the {@code [DONE]} event. Confined to the thread of the
 * endpoint's event loop.
 */
public final class EngineAdapter implements EndpointAdapter {

	/** Header that carries the id of the attempt. */
	static final String REQUEST_ID = "X-Request-Id";

	/** Header that carries the idempotency key. */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String EVENT_STREAM = "text/event-stream";

	private static final int OK = 200;

	private final OutboundHttpClient httpClient;

	private final String address;

	/**
	 * Creates an adapter.
	 * @param httpClient client that sends the requests
	 * @param address base URL of the engine
	 */
	public EngineAdapter(OutboundHttpClient httpClient, String address) {
		this.httpClient = httpClient;
		this.address = address;
	}

	@Override
	public void send(EndpointCall call, AnswerListener listener) {
		post(call.path(), call.attemptId(), call.body(), call.idempotent(), listener);
	}

	@Override
	public void resume(String attemptId, int receivedTokens, AnswerListener listener) {
		byte[] body = Json.bytes(Json.object().put("request_id", attemptId).put("received", receivedTokens));
		post("/resume", attemptId, body, true, listener);
	}

	private void post(String path, String attemptId, byte[] body, boolean idempotent, AnswerListener listener) {
		HttpHeaders headers = new DefaultHttpHeaders().set(REQUEST_ID, attemptId)
			.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		OutgoingRequest request = new OutgoingRequest("POST", path, headers, body);
		this.httpClient.send(this.address, request, idempotent ? attemptId : null, new AnswerForwarder(listener) {

			private EventStreamParser parser;

			@Override
			void onHead(int status, String contentType) {
				this.parser = (status == OK && contentType.startsWith(EVENT_STREAM)) ? new EventStreamParser() : null;
			}

			@Override
			public void onBody(byte[] bytes) {
				forwardChunk(bytes, this.parser, listener);
			}

			@Override
			public void onComplete() {
				onBodyEnd(this.parser, listener);
			}
		});
	}

	private static void forwardChunk(byte[] chunk, EventStreamParser parser, AnswerListener listener) {
		if (parser == null) {
			listener.onBody(chunk, 0);
			return;
		}
		EventStreamParser.Events events = parser.accept(chunk);
		if (events.count() > 0) {
			listener.onBody(events.bytes(), events.count());
		}
	}

	private static void onBodyEnd(EventStreamParser parser, AnswerListener listener) {
		if (parser == null || parser.ended()) {
			listener.onComplete();
		}
		else {
			listener.onInterrupted("the event stream ended without its [DONE] event");
		}
	}

	@Override
	public void cancel(String attemptId) {
		byte[] body = Json.bytes(Json.object().put("request_id", attemptId));
		this.httpClient.call(this.address, "POST", "/cancel", body)
			.whenException((failure) -> LogEvent.CANCEL_FAILED.log("endpoint", this.address, "attempt", attemptId,
					"reason", failure.getMessage()));
	}

	@Override
	public boolean resumable() {
		return true;
	}

	/**
	 * Returns the event that terminates a complete event stream.
	 * @return the encoded event
	 */
	public static byte[] doneEvent() {
		return EventStreamParser.DONE_EVENT.getBytes(StandardCharsets.UTF_8);
	}

}
