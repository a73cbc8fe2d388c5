package carawayswitch.entry;

import java.util.function.Consumer;

import io.activej.reactor.Reactor;

import carawayswitch.dispatch.ReplySink;
import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Receives a copy of an answer that another host holds and forwards it to a request of
 * this host that repeated the idempotency key. The copy is complete only if every chunk
 * arrived in sequence. May be called by any thread; the sink is called on the thread of
 * the request.
 */
public final class AttachmentReceiver implements ReplySink {

	private final String requestId;

	private final Reactor reactor;

	private final AnswerSink sink;

	private int nextChunk;

	private boolean ended;

	AttachmentReceiver(String requestId, Reactor reactor, AnswerSink sink) {
		this.requestId = requestId;
		this.reactor = reactor;
		this.sink = sink;
	}

	/**
	 * Returns the id of the request that receives the copy.
	 * @return id of the request
	 */
	public String requestId() {
		return this.requestId;
	}

	@Override
	public void head(ReplyHead head) {
		runOnReactor((target) -> target.head(head.status(), head.contentType(), ""));
	}

	@Override
	public void chunk(ReplyChunk chunk) {
		runOnReactor((target) -> {
			if (chunk.sequence() == this.nextChunk) {
				this.nextChunk++;
				target.body(chunk.body());
			}
		});
	}

	@Override
	public void end(ReplyEnd end) {
		runOnReactor((target) -> {
			if (this.ended) {
				return;
			}
			this.ended = true;
			Outcome outcome = Outcome.ofLabel(end.outcome());
			if (outcome == Outcome.ANSWERED && end.chunks() != this.nextChunk) {
				target.end(Outcome.UNKNOWN, ErrorKind.STREAM_BROKEN, "", 0);
			}
			else {
				ErrorKind error = (outcome == Outcome.ANSWERED) ? null : ErrorKind.ofLabel(end.errorKind());
				target.end(outcome, error, "", end.retryAfterMillis());
			}
		});
	}

	private void runOnReactor(Consumer<AnswerSink> action) {
		if (this.reactor.inReactorThread()) {
			action.accept(this.sink);
		}
		else {
			this.reactor.execute(() -> action.accept(this.sink));
		}
	}

}
