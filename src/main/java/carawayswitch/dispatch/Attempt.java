package carawayswitch.dispatch;

import carawayswitch.config.Profile;
import carawayswitch.message.EndpointDigest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.outcome.AttemptState;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.NotRunProof;
import carawayswitch.outcome.Outcome;
import carawayswitch.schedule.Work;

/**
 * State of one attempt to run a request, at the owner of the endpoint. Invariants: the
 * sink receives exactly one end, and the outcome {@code not_run} only with a
 * {@link NotRunProof}. Confined to the thread of the endpoint's event loop.
 */
final class Attempt {

	final ForwardRequest request;

	final Profile profile;

	final AttemptState state = new AttemptState();

	private final ReplySink sink;

	Work work;

	int receivedTokens;

	int runNumber;

	boolean preempting;

	/** Number of tokens received before the last resumption, or -1 if there was none. */
	int resumedAtTokens = -1;

	private boolean headSent;

	private int sentChunks;

	private boolean ended;

	Attempt(ForwardRequest request, Profile profile, Work work, ReplySink sink) {
		this.request = request;
		this.profile = profile;
		this.work = work;
		this.sink = sink;
	}

	static String id(String requestId, int attempt) {
		return requestId + "#" + attempt;
	}

	String id() {
		return id(this.request.requestId(), this.request.attempt());
	}

	boolean ended() {
		return this.ended;
	}

	void sendHead(int status, String contentType) {
		if (!this.headSent && !this.ended) {
			this.headSent = true;
			this.sink.head(new ReplyHead(this.request.requestId(), this.request.attempt(), status, contentType));
		}
	}

	void sendChunk(byte[] bytes) {
		if (!this.ended) {
			this.sink.chunk(new ReplyChunk(this.request.requestId(), this.request.attempt(), this.sentChunks++, bytes));
		}
	}

	void endAnswered(EndpointDigest digest) {
		end(Outcome.ANSWERED, "", 0, digest);
	}

	void endNotRun(NotRunProof proof, ErrorKind kind, long retryAfterMillis, EndpointDigest digest) {
		if (proof != null) {
			end(Outcome.NOT_RUN, kind.label(), retryAfterMillis, digest);
		}
	}

	void endUnknown(ErrorKind kind, EndpointDigest digest) {
		end(Outcome.UNKNOWN, kind.label(), 0, digest);
	}

	private void end(Outcome outcome, String errorKind, long retryAfterMillis, EndpointDigest digest) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		int wastedPromptTokens = (outcome != Outcome.ANSWERED && this.state.writeBegun()) ? this.request.promptTokens()
				: 0;
		this.sink.end(new ReplyEnd(this.request.requestId(), this.request.attempt(), outcome.label(), errorKind,
				this.sentChunks, retryAfterMillis, wastedPromptTokens, digest));
	}

}
