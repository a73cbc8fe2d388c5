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
 * Turns an answer into the HTTP response of the caller. Invariant: a response is complete
 * only if the answer was whole; a broken stream ends with an error event and a broken
 * connection. Confined to the thread of the request.
 */
final class CallerResponse implements AnswerSink {

	private static final int OK = 200;

	private final CallerCall call;

	private final String host;

	private final Runnable onCallerGone;

	private final SettablePromise<HttpResponse> response = new SettablePromise<>();

	private final ByteArrayOutputStream whole = new ByteArrayOutputStream();

	private CompletionText text = new CompletionText();

	private int status;

	private String contentType = "";

	private String endpoint = "";

	private BodyQueue stream;

	private boolean events;

	private long firstByteAt;

	CallerResponse(CallerCall call, String host, Runnable onCallerGone) {
		this.call = call;
		this.host = host;
		this.onCallerGone = onCallerGone;
	}

	Promise<HttpResponse> response() {
		return this.response;
	}

	long firstByteAt() {
		return this.firstByteAt;
	}

	String endpoint() {
		return this.endpoint;
	}

	boolean begun() {
		return this.stream != null;
	}

	/**
	 * Forgets the pieces of a broken answer, of which the caller has seen nothing.
	 */
	void restart() {
		this.whole.reset();
		this.text = new CompletionText();
	}

	@Override
	public void head(int answerStatus, String answerContentType, String answeringEndpoint) {
		this.status = answerStatus;
		this.contentType = answerContentType;
		this.endpoint = answeringEndpoint;
		this.events = this.call.engine() && answerStatus == OK && answerContentType.startsWith("text/event-stream");
	}

	@Override
	public void body(byte[] piece) {
		if (this.firstByteAt == 0) {
			this.firstByteAt = MonotonicClock.millis();
		}
		if (!this.events) {
			this.whole.writeBytes(piece);
		}
		else if (this.call.stream()) {
			streamPiece(piece);
		}
		else {
			this.text.accept(piece);
		}
	}

	private void streamPiece(byte[] piece) {
		if (this.stream == null) {
			this.stream = new BodyQueue(this.onCallerGone);
			this.response.set(builder(OK, "text/event-stream").withBodyStream(this.stream).build());
		}
		if (!this.stream.add(piece)) {
			this.stream.fail(new IllegalStateException("the caller is too slow"));
			this.onCallerGone.run();
		}
	}

	@Override
	public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		if (outcome == Outcome.ANSWERED) {
			endWhole();
		}
		else if (this.stream != null) {
			this.stream.add(ErrorAnswer.event(error, outcome, detail, this.call.requestId()));
			this.stream.fail(new IllegalStateException("the answer broke off"));
		}
		else {
			this.response.trySet(
					ErrorAnswer.response(error, outcome, detail, retryAfterMillis, this.call.requestId(), this.host));
		}
	}

	private void endWhole() {
		if (this.stream != null) {
			this.stream.add(EngineAdapter.endMark());
			this.stream.end();
		}
		else if (this.events && this.call.stream()) {
			this.response.trySet(builder(OK, "text/event-stream").withBody(EngineAdapter.endMark()).build());
		}
		else if (this.events) {
			this.response.trySet(builder(OK, "application/json").withBody(this.text.completion(this.call)).build());
		}
		else {
			this.response.trySet(builder(this.status, this.contentType).withBody(this.whole.toByteArray()).build());
		}
	}

	private HttpResponse.Builder builder(int code, String type) {
		HttpResponse.Builder builder = HttpResponse.ofCode(code)
			.withHeader(Headers.REQUEST_ID, this.call.requestId())
			.withHeader(Headers.HOST, this.host)
			.withHeader(Headers.ENDPOINT, this.endpoint);
		if (this.stream == null) {
			builder.withHeader(Headers.OUTCOME, Outcome.ANSWERED.label());
		}
		if (!type.isEmpty()) {
			builder.withHeader(HttpHeaders.CONTENT_TYPE, type);
		}
		return builder;
	}

}
