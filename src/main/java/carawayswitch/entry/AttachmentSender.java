package carawayswitch.entry;

import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.transport.PeerTransport;

/**
 * Sends a copy of an answer to a host whose caller repeated an idempotency key. Confined
 * to the thread of the request that holds the grant.
 */
final class AttachmentSender implements AnswerSink {

	/** Attempt number in reply messages of attachments; real attempts start at 1. */
	static final int ATTACHMENT_ATTEMPT = 0;

	private final PeerTransport transport;

	private final String peer;

	private final String requestId;

	private int chunks;

	AttachmentSender(PeerTransport transport, String peer, String requestId) {
		this.transport = transport;
		this.peer = peer;
		this.requestId = requestId;
	}

	@Override
	public void head(int status, String contentType, String endpoint) {
		this.transport.send(this.peer, new ReplyHead(this.requestId, ATTACHMENT_ATTEMPT, status, contentType));
	}

	@Override
	public void body(byte[] chunk) {
		this.transport.send(this.peer, new ReplyChunk(this.requestId, ATTACHMENT_ATTEMPT, this.chunks++, chunk));
	}

	@Override
	public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		String kind = (error != null) ? error.label() : "";
		this.transport.send(this.peer, new ReplyEnd(this.requestId, ATTACHMENT_ATTEMPT, outcome.label(), kind,
				this.chunks, retryAfterMillis, 0, null));
	}

}
