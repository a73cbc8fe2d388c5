package carawayswitch.endpoint;

import java.nio.charset.StandardCharsets;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;

import carawayswitch.http.Json;
import carawayswitch.http.OutboundHttpClient;

/**
 * Client of an engine's HTTP API. Successful answers are event streams, which are
 * complete only if they end with the {@code [DONE]} event. Confined to the thread of the
 * endpoint's event loop.
 */
public final class EngineAdapter implements EndpointAdapter {

	/** Header that carries the id of the attempt. */
	public static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

	/** Header that carries the idempotency key. */
	public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

	private static final String EVENT_STREAM = "text/event-stream";

	private static final int OK = 200;

	private final OutboundHttpClient caller;

	private final String address;

	/**
	 * Creates an adapter.
	 * @param caller client that sends the requests
	 * @param address base URL of the engine
	 */
	public EngineAdapter(OutboundHttpClient caller, String address) {
		this.caller = caller;
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
		HttpRequest request = HttpRequest.post(this.address + path)
			.withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
			.withHeader(REQUEST_ID, attemptId)
			.withBody(body)
			.build();
		this.caller.send(request, idempotent).subscribe((response, failure) -> {
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
		boolean eventStream = response.getCode() == OK && contentType != null && contentType.startsWith(EVENT_STREAM);
		listener.onHead(response.getCode(), (contentType != null) ? contentType : "");
		EventStreamParser parser = eventStream ? new EventStreamParser() : null;
		BodyReader.read(response.takeBodyStream(), new BodyReader.ChunkConsumer() {
			@Override
			public void onChunk(byte[] chunk) {
				forwardChunk(chunk, parser, listener);
			}

			@Override
			public void onEnd() {
				onBodyEnd(parser, listener);
			}

			@Override
			public void onFailure(String reason) {
				listener.onInterrupted(reason);
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
		HttpRequest request = HttpRequest.post(this.address + "/cancel").withBody(body).build();
		this.caller.send(request, true).then((response) -> response.loadBody()).subscribe((responseBody, failure) -> {
			if (failure != null) {
				// Removes the failed request from the records of the HTTP client.
				this.caller.takeNeverSent(request);
			}
		});
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
