package carawayswitch.entry;

import java.io.ByteArrayOutputStream;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

import carawayswitch.endpoint.EngineAdapter;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.time.MonotonicClock;

/**
 * Converts an answer into the HTTP response to the caller. Invariant: a response is
 * complete only if the answer was complete; if a streamed answer is cut off, an error
 * event follows and the connection is closed before the body is complete. Confined to the
 * thread of the request.
 */
final class CallerResponse implements AnswerSink {

	private static final int OK = 200;

	private final ResolvedRequest request;

	private final String host;

	private final Runnable onCallerDisconnected;

	private final SettablePromise<HttpResponse> response = new SettablePromise<>();

	private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();

	private CompletionCollector completion = new CompletionCollector();

	private int status;

	private String contentType = "";

	private String endpoint = "";

	private BodyQueue bodyStream;

	private boolean eventStream;

	private long firstByteMillis;

	CallerResponse(ResolvedRequest request, String host, Runnable onCallerDisconnected) {
		this.request = request;
		this.host = host;
		this.onCallerDisconnected = onCallerDisconnected;
	}

	Promise<HttpResponse> response() {
		return this.response;
	}

	long firstByteMillis() {
		return this.firstByteMillis;
	}

	String endpoint() {
		return this.endpoint;
	}

	boolean streamingStarted() {
		return this.bodyStream != null;
	}

	/**
	 * Discards the buffered part of an answer that was cut off. None of it has been sent
	 * to the caller.
	 */
	void discardBuffered() {
		this.bufferedBody.reset();
		this.completion = new CompletionCollector();
	}

	@Override
	public void head(int answerStatus, String answerContentType, String answeringEndpoint) {
		this.status = answerStatus;
		this.contentType = answerContentType;
		this.endpoint = answeringEndpoint;
		this.eventStream = this.request.engine() && answerStatus == OK
				&& answerContentType.startsWith("text/event-stream");
	}

	@Override
	public void body(byte[] chunk) {
		if (this.firstByteMillis == 0) {
			this.firstByteMillis = MonotonicClock.millis();
		}
		if (!this.eventStream) {
			this.bufferedBody.writeBytes(chunk);
		}
		else if (this.request.stream()) {
			streamChunk(chunk);
		}
		else {
			this.completion.accept(chunk);
		}
	}

	private void streamChunk(byte[] chunk) {
		if (this.bodyStream == null) {
			this.bodyStream = new BodyQueue(this.onCallerDisconnected);
			this.response.set(builder(OK, "text/event-stream").withBodyStream(this.bodyStream).build());
		}
		if (!this.bodyStream.add(chunk)) {
			this.bodyStream.fail(new IllegalStateException(
					"the caller reads too slowly: more than " + BodyQueue.MAX_QUEUED_BYTES + " bytes are queued"));
			this.onCallerDisconnected.run();
		}
	}

	@Override
	public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		if (outcome == Outcome.ANSWERED) {
			completeResponse();
		}
		else if (this.bodyStream != null) {
			this.bodyStream.add(ErrorResponses.event(error, outcome, detail, this.request.requestId()));
			this.bodyStream.fail(new IllegalStateException("the answer was cut off"));
		}
		else {
			this.response.trySet(ErrorResponses.response(error, outcome, detail, retryAfterMillis,
					this.request.requestId(), this.host));
		}
	}

	private void completeResponse() {
		if (this.bodyStream != null) {
			this.bodyStream.add(EngineAdapter.doneEvent());
			this.bodyStream.end();
		}
		else if (this.eventStream && this.request.stream()) {
			this.response.trySet(builder(OK, "text/event-stream").withBody(EngineAdapter.doneEvent()).build());
		}
		else if (this.eventStream) {
			this.response
				.trySet(builder(OK, "application/json").withBody(this.completion.completionJson(this.request)).build());
		}
		else {
			this.response
				.trySet(builder(this.status, this.contentType).withBody(this.bufferedBody.toByteArray()).build());
		}
	}

	private HttpResponse.Builder builder(int code, String type) {
		HttpResponse.Builder builder = HttpResponse.ofCode(code)
			.withHeader(Headers.REQUEST_ID, this.request.requestId())
			.withHeader(Headers.HOST, this.host)
			.withHeader(Headers.ENDPOINT, this.endpoint);
		if (this.bodyStream == null) {
			builder.withHeader(Headers.OUTCOME, Outcome.ANSWERED.label());
		}
		if (!type.isEmpty()) {
			builder.withHeader(HttpHeaders.CONTENT_TYPE, type);
		}
		return builder;
	}

}
