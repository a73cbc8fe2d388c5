package carawayswitch.entry;

import java.util.ArrayList;
import java.util.List;

import io.activej.reactor.Reactor;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Recorded answer to the request that holds the grant of an idempotency key, replayed to
 * requests that repeat the key. Confined to the thread of the request that holds the
 * grant, except that {@link #attach} and {@link #bodyBytes} may be called by any thread.
 */
final class AnswerRecord implements AnswerSink {

	private final Reactor reactor;

	private final List<AnswerSink> sinks = new ArrayList<>();

	private final List<byte[]> chunks = new ArrayList<>();

	private volatile int bodyBytes;

	private int status;

	private String contentType = "";

	private String endpoint;

	private End end;

	AnswerRecord(Reactor reactor, AnswerSink first) {
		this.reactor = reactor;
		this.sinks.add(first);
	}

	void attach(AnswerSink sink) {
		if (this.reactor.inReactorThread()) {
			replay(sink);
		}
		else {
			this.reactor.execute(() -> replay(sink));
		}
	}

	private void replay(AnswerSink sink) {
		if (this.endpoint != null) {
			sink.head(this.status, this.contentType, this.endpoint);
		}
		this.chunks.forEach(sink::body);
		if (this.end != null) {
			sink.end(this.end.outcome(), this.end.error(), this.end.detail(), this.end.retryAfterMillis());
		}
		else {
			this.sinks.add(sink);
		}
	}

	@Override
	public void head(int answerStatus, String answerContentType, String answeringEndpoint) {
		this.status = answerStatus;
		this.contentType = answerContentType;
		this.endpoint = answeringEndpoint;
		this.sinks.forEach((sink) -> sink.head(answerStatus, answerContentType, answeringEndpoint));
	}

	@Override
	public void body(byte[] chunk) {
		this.chunks.add(chunk);
		this.bodyBytes += chunk.length;
		this.sinks.forEach((sink) -> sink.body(chunk));
	}

	@Override
	public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		this.end = new End(outcome, error, detail, retryAfterMillis);
		this.sinks.forEach((sink) -> sink.end(outcome, error, detail, retryAfterMillis));
		this.sinks.clear();
	}

	int bodyBytes() {
		return this.bodyBytes;
	}

	private record End(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {

	}

}
