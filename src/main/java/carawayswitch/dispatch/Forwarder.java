package carawayswitch.dispatch;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.activej.reactor.Reactor;

import carawayswitch.message.CancelReply;
import carawayswitch.message.CancelRequest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.Member;
import carawayswitch.message.Message;
import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.time.MonotonicClock;
import carawayswitch.transport.PeerTransport;

/**
 * Forwards attempts to the owners of endpoints, on this host or others, and delivers the
 * answers on the thread of the request. Replies are matched by request, attempt and host;
 * late, duplicate, reordered and unmatched replies are ignored. If the connection to an
 * owner is lost, the owner is asked whether it dispatched the attempt. Thread-safe.
 */
public final class Forwarder {

	/** Maximum time in milliseconds to wait for the owner's reply to a cancellation. */
	static final long CANCEL_REPLY_TIMEOUT_MILLIS = 2000;

	private final String host;

	private final EndpointOwners owners;

	private final PeerTransport transport;

	private final Reactor transportReactor;

	private final ConcurrentMap<String, PendingAttempt> pending = new ConcurrentHashMap<>();

	/**
	 * Creates a forwarder.
	 * @param host id of this host
	 * @param owners endpoint owners on this host
	 * @param transport connections to other hosts
	 * @param transportReactor event loop of the transport
	 */
	public Forwarder(String host, EndpointOwners owners, PeerTransport transport, Reactor transportReactor) {
		this.host = host;
		this.owners = owners;
		this.transport = transport;
		this.transportReactor = transportReactor;
	}

	/**
	 * Forwards an attempt to the owner of its endpoint.
	 * @param owner the owner of the endpoint
	 * @param request the attempt
	 * @param reactor event loop of the request
	 * @param sink receives the answer on that event loop
	 */
	public void forward(Member owner, ForwardRequest request, Reactor reactor, ReplySink sink) {
		String id = Attempt.id(request.requestId(), request.attempt());
		PendingAttempt pendingAttempt = new PendingAttempt(owner, request, reactor, sink);
		this.pending.put(id, pendingAttempt);
		if (owner.host().equals(this.host)) {
			this.owners.submit(request, new LocalSink(id));
		}
		else {
			this.transport.send(owner.host(), request,
					() -> endPending(id, pendingAttempt, Outcome.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE));
		}
	}

	/**
	 * Cancels an attempt whose caller has disconnected.
	 * @param requestId id of the request
	 * @param attempt number of the attempt
	 */
	public void cancel(String requestId, int attempt) {
		PendingAttempt pendingAttempt = this.pending.get(Attempt.id(requestId, attempt));
		if (pendingAttempt != null) {
			sendCancel(pendingAttempt);
		}
	}

	private void sendCancel(PendingAttempt pendingAttempt) {
		ForwardRequest request = pendingAttempt.request;
		CancelRequest cancel = new CancelRequest(request.requestId(), request.attempt(),
				pendingAttempt.owner.incarnation(), request.endpoint());
		if (pendingAttempt.owner.host().equals(this.host)) {
			this.owners.cancel(cancel, MonotonicClock.millis(), (neverDispatched) -> onCancelReply(this.host,
					new CancelReply(request.requestId(), request.attempt(), neverDispatched)));
		}
		else {
			this.transport.send(pendingAttempt.owner.host(), cancel);
		}
	}

	/**
	 * Handles a reply of another host.
	 * @param peer id of the host
	 * @param message the message
	 * @return true if the message was a reply to an attempt or a cancellation
	 */
	public boolean onMessage(String peer, Message message) {
		if (message instanceof ReplyHead head) {
			deliver(peer, head.requestId(), head.attempt(), (pendingAttempt) -> pendingAttempt.onHead(head));
		}
		else if (message instanceof ReplyChunk chunk) {
			deliver(peer, chunk.requestId(), chunk.attempt(), (pendingAttempt) -> pendingAttempt.onChunk(chunk));
		}
		else if (message instanceof ReplyEnd end) {
			onEnd(peer, end);
		}
		else if (message instanceof CancelReply reply) {
			onCancelReply(peer, reply);
		}
		else {
			return false;
		}
		return true;
	}

	private void deliver(String peer, String requestId, int attempt, Consumer<PendingAttempt> action) {
		PendingAttempt pendingAttempt = this.pending.get(Attempt.id(requestId, attempt));
		if (pendingAttempt != null && pendingAttempt.owner.host().equals(peer)) {
			runOnRequestLoop(pendingAttempt, action);
		}
	}

	private static void runOnRequestLoop(PendingAttempt pendingAttempt, Consumer<PendingAttempt> action) {
		if (pendingAttempt.reactor.inReactorThread()) {
			action.accept(pendingAttempt);
		}
		else {
			pendingAttempt.reactor.execute(() -> action.accept(pendingAttempt));
		}
	}

	private void onEnd(String peer, ReplyEnd end) {
		String id = Attempt.id(end.requestId(), end.attempt());
		PendingAttempt pendingAttempt = this.pending.get(id);
		if (pendingAttempt != null && pendingAttempt.owner.host().equals(peer)
				&& this.pending.remove(id, pendingAttempt)) {
			runOnRequestLoop(pendingAttempt, (target) -> target.onEnd(end));
		}
	}

	private void onCancelReply(String peer, CancelReply reply) {
		String id = Attempt.id(reply.requestId(), reply.attempt());
		PendingAttempt pendingAttempt = this.pending.get(id);
		if (pendingAttempt == null || !pendingAttempt.owner.host().equals(peer)) {
			return;
		}
		if (reply.neverDispatched()) {
			endPending(id, pendingAttempt, Outcome.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE);
		}
		else if (pendingAttempt.resolving) {
			endPending(id, pendingAttempt, Outcome.UNKNOWN, ErrorKind.CONNECTION_LOST);
		}
	}

	private void endPending(String id, PendingAttempt pendingAttempt, Outcome outcome, ErrorKind kind) {
		if (this.pending.remove(id, pendingAttempt)) {
			ReplyEnd end = new ReplyEnd(pendingAttempt.request.requestId(), pendingAttempt.request.attempt(),
					outcome.label(), kind.label(), 0, 0, 0, null);
			runOnRequestLoop(pendingAttempt, (target) -> target.sink.end(end));
		}
	}

	/**
	 * Asks a host, over a new connection, whether it dispatched the attempts sent to it.
	 * Must be called on the thread of the transport.
	 * @param peer id of the host
	 */
	public void onPeerLost(String peer) {
		List<String> lost = this.pending.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().owner.host().equals(peer) && !entry.getValue().resolving)
			.map((entry) -> entry.getKey())
			.toList();
		for (String id : lost) {
			PendingAttempt pendingAttempt = this.pending.get(id);
			if (pendingAttempt != null) {
				resolveOutcome(id, pendingAttempt);
			}
		}
	}

	private void resolveOutcome(String id, PendingAttempt pendingAttempt) {
		pendingAttempt.resolving = true;
		sendCancel(pendingAttempt);
		this.transportReactor.delayBackground(CANCEL_REPLY_TIMEOUT_MILLIS,
				() -> endPending(id, pendingAttempt, Outcome.UNKNOWN, ErrorKind.CONNECTION_LOST));
	}

	/**
	 * Ends an attempt whose answer is overdue, after asking its owner whether it was
	 * dispatched.
	 * @param requestId id of the request
	 * @param attempt number of the attempt
	 */
	public void expire(String requestId, int attempt) {
		String id = Attempt.id(requestId, attempt);
		PendingAttempt pendingAttempt = this.pending.get(id);
		if (pendingAttempt != null) {
			this.transportReactor.execute(() -> resolveOutcome(id, pendingAttempt));
		}
	}

	/**
	 * Returns the hosts that hold in-flight attempts of this host.
	 * @return ids of the hosts
	 */
	public Set<String> awaitedPeers() {
		return this.pending.values()
			.stream()
			.map((pendingAttempt) -> pendingAttempt.owner.host())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the number of in-flight attempts.
	 * @return number of attempts
	 */
	public int inFlight() {
		return this.pending.size();
	}

	/**
	 * A forwarded attempt that has not ended. The state of the received answer is
	 * confined to the thread of the request.
	 */
	private static final class PendingAttempt {

		private final Member owner;

		private final ForwardRequest request;

		private final Reactor reactor;

		private final ReplySink sink;

		/**
		 * True once the owner was asked whether it dispatched the attempt, because the
		 * connection was lost or the answer is overdue.
		 */
		private volatile boolean resolving;

		private int nextChunk;

		/** True once a chunk number was skipped; all later chunks are dropped. */
		private boolean chunkMissing;

		PendingAttempt(Member owner, ForwardRequest request, Reactor reactor, ReplySink sink) {
			this.owner = owner;
			this.request = request;
			this.reactor = reactor;
			this.sink = sink;
		}

		void onHead(ReplyHead head) {
			this.sink.head(head);
		}

		void onChunk(ReplyChunk chunk) {
			if (chunk.sequence() == this.nextChunk && !this.chunkMissing) {
				this.nextChunk++;
				this.sink.chunk(chunk);
			}
			else {
				this.chunkMissing |= chunk.sequence() > this.nextChunk;
			}
		}

		void onEnd(ReplyEnd end) {
			boolean complete = Outcome.ofLabel(end.outcome()) != Outcome.ANSWERED || end.chunks() == this.nextChunk;
			this.sink.end(complete ? end : new ReplyEnd(end.requestId(), end.attempt(), Outcome.UNKNOWN.label(),
					ErrorKind.STREAM_BROKEN.label(), end.chunks(), 0, end.wastedPromptTokens(), end.digest()));
		}

	}

	/**
	 * Receives the answer from an owner on this host.
	 */
	private final class LocalSink implements ReplySink {

		private final String id;

		LocalSink(String id) {
			this.id = id;
		}

		@Override
		public void head(ReplyHead head) {
			PendingAttempt pendingAttempt = Forwarder.this.pending.get(this.id);
			if (pendingAttempt != null) {
				runOnRequestLoop(pendingAttempt, (target) -> target.onHead(head));
			}
		}

		@Override
		public void chunk(ReplyChunk chunk) {
			PendingAttempt pendingAttempt = Forwarder.this.pending.get(this.id);
			if (pendingAttempt != null) {
				runOnRequestLoop(pendingAttempt, (target) -> target.onChunk(chunk));
			}
		}

		@Override
		public void end(ReplyEnd end) {
			onEnd(Forwarder.this.host, end);
		}

	}

}
