package carawayswitch.entry;

import io.activej.reactor.Reactor;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Forwards an answer to a sink on another event loop. Safe for use by several threads.
 *
 * @param reactor event loop of the target
 * @param target receives the answer on that event loop
 */
record EventLoopAnswerSink(Reactor reactor, AnswerSink target) implements AnswerSink {

	@Override
	public void head(int status, String contentType, String endpoint) {
		this.reactor.execute(() -> this.target.head(status, contentType, endpoint));
	}

	@Override
	public void body(byte[] chunk) {
		this.reactor.execute(() -> this.target.body(chunk));
	}

	@Override
	public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		this.reactor.execute(() -> this.target.end(outcome, error, detail, retryAfterMillis));
	}

}
