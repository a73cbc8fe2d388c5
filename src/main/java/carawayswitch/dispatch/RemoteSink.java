package carawayswitch.dispatch;

import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.transport.PeerTransport;

/**
 * Sends the answer to an attempt to the host that forwarded it. Immutable and
 * thread-safe.
 *
 * @param transport connections to other hosts
 * @param peer id of the host that forwarded the attempt
 */
public record RemoteSink(PeerTransport transport, String peer) implements ReplySink {

	@Override
	public void head(ReplyHead head) {
		this.transport.send(this.peer, head);
	}

	@Override
	public void chunk(ReplyChunk chunk) {
		this.transport.send(this.peer, chunk);
	}

	@Override
	public void end(ReplyEnd end) {
		this.transport.send(this.peer, end);
	}

}
