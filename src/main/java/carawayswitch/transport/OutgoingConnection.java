package carawayswitch.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.LogEvent;
import carawayswitch.message.Hello;
import carawayswitch.message.Message;
import carawayswitch.message.Ping;
import carawayswitch.message.Pong;
import carawayswitch.message.Proof;

/**
 * Connection that this host opened to another one, which may reply on it. Messages that
 * are sent before the peer is verified are held back until then. Invariant: the
 * {@code onUnsent} callback of a message runs only if no byte of the message was handed
 * to the socket. Confined to the reactor thread of the transport.
 */
final class OutgoingConnection {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);

	/** Reason of a close that loses no message; it is not reported as a lost peer. */
	static final String IDLE_REASON = "idle";

	private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

	private final NioReactor reactor;

	private final PeerIdentity identity;

	private final PeerHandler handler;

	private final String peer;

	private final Consumer<Boolean> onClosed;

	private final List<PendingMessage> pending = new ArrayList<>();

	private final ByteBufs writeBuffer = new ByteBufs();

	private final byte[] challenge = PeerIdentity.newChallenge();

	private final TrafficCounter traffic;

	private TcpSocket socket;

	private boolean verified;

	private boolean writing;

	private boolean closed;

	private boolean messageWritten;

	/**
	 * Time of the first ping since the last frame from the peer, or of the attempt to
	 * connect if no frame has been received yet; 0 if no ping is unanswered.
	 */
	private long unansweredSinceMillis;

	private long lastReceivedMillis;

	private long peerIncarnation;

	private long lastUsedMillis;

	private long nextPingSequence;

	OutgoingConnection(NioReactor reactor, PeerIdentity identity, PeerHandler handler, String peer,
			TrafficCounter traffic, Consumer<Boolean> onClosed) {
		this.reactor = reactor;
		this.identity = identity;
		this.handler = handler;
		this.peer = peer;
		this.traffic = traffic;
		this.onClosed = onClosed;
	}

	void connect(InetSocketAddress address, long nowMillis) {
		this.unansweredSinceMillis = nowMillis;
		this.lastUsedMillis = nowMillis;
		TcpSocket.connect(this.reactor, address, CONNECT_TIMEOUT, SocketSettings.create())
			.subscribe((connected, failure) -> {
				if (failure != null) {
					close(failure.getMessage());
				}
				else if (this.closed) {
					connected.close();
				}
				else {
					onConnected(connected);
				}
			});
	}

	private void onConnected(TcpSocket connected) {
		this.socket = connected;
		Hello hello = new Hello(this.identity.host(), this.identity.incarnation(), this.challenge,
				PeerIdentity.PROTOCOL_VERSION);
		write(hello);
		BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(connected))
			.decodeStream(FrameCodec
				.decoder(() -> this.verified ? FrameCodec.MAX_FRAME_BYTES : FrameCodec.MAX_HANDSHAKE_BYTES))
			.streamTo(new FrameConsumer(this::onFrame))
			.subscribe((done, failure) -> close((failure != null) ? failure.getMessage() : "closed by peer"));
	}

	private void onFrame(ByteBuf frame) {
		if (this.closed) {
			return;
		}
		this.unansweredSinceMillis = 0;
		this.lastReceivedMillis = this.reactor.currentTimeMillis();
		FrameCodec.receive(frame, this.traffic, this::close).forEach(this::onMessage);
	}

	private void onMessage(Message message) {
		if (message instanceof Hello hello) {
			this.peerIncarnation = hello.incarnation();
			write(new Proof(this.identity.sign(hello.challenge())));
		}
		else if (message instanceof Proof proof && !this.verified) {
			onProof(proof);
		}
		else if (this.verified && !(message instanceof Pong)) {
			this.handler.onMessage(this.peer, this.peerIncarnation, message);
		}
	}

	private void onProof(Proof proof) {
		if (!this.identity.verify(this.challenge, this.peer, proof.signature())) {
			LogEvent.PEER_REJECTED.log("peer", this.peer, "reason", "wrong secret or host id");
			close("authentication failed");
			return;
		}
		this.verified = true;
		List<PendingMessage> queued = List.copyOf(this.pending);
		this.pending.clear();
		queued.forEach((entry) -> writeMessage(entry.message()));
	}

	void send(Message message, Runnable onUnsent, long nowMillis) {
		this.lastUsedMillis = nowMillis;
		boolean bufferFull = this.writeBuffer.remainingBytes() > MAX_BUFFERED_BYTES;
		if (this.closed || bufferFull) {
			onUnsent.run();
		}
		else if (this.verified) {
			writeMessage(message);
		}
		else {
			this.pending.add(new PendingMessage(message, onUnsent));
		}
	}

	private void writeMessage(Message message) {
		this.messageWritten = true;
		write(message);
	}

	private void write(Message message) {
		ByteBuf frame = FrameCodec.encode(message);
		this.traffic.recordSent(this.peer, message, frame.readRemaining());
		this.writeBuffer.add(frame);
		if (!this.writing) {
			this.writing = true;
			this.reactor.postLast(this::flush);
		}
	}

	private void flush() {
		if (this.closed || this.writeBuffer.isEmpty()) {
			this.writing = false;
			return;
		}
		this.socket.write(this.writeBuffer.takeRemaining()).subscribe((done, failure) -> {
			if (failure != null) {
				close(failure.getMessage());
			}
			else {
				flush();
			}
		});
	}

	/**
	 * Pings a peer that has sent nothing lately while an answer is awaited or the
	 * connection was used recently, and closes the connection when it has been silent or
	 * idle for too long.
	 * @param nowMillis time in milliseconds; what had arrived by then has been received
	 * @param pingAfterMillis time in milliseconds without a frame from the peer after
	 * which it is pinged
	 * @param timing times for which a ping and the handshake may stay unanswered before
	 * the connection is closed
	 * @param idleTimeoutMillis time in milliseconds without a message to send after which
	 * the connection is closed, unless an answer is awaited
	 * @param answerAwaited true if an answer of the peer is awaited
	 */
	void probe(long nowMillis, long pingAfterMillis, PeerTransport.Timing timing, long idleTimeoutMillis,
			boolean answerAwaited) {
		long limitMillis = this.verified ? timing.silenceTimeoutMillis() : timing.handshakeTimeoutMillis();
		boolean silent = this.unansweredSinceMillis > 0 && nowMillis - this.unansweredSinceMillis > limitMillis;
		if (silent) {
			close("no answer for " + limitMillis + " ms");
		}
		else if (this.verified && !answerAwaited && nowMillis - this.lastUsedMillis > idleTimeoutMillis) {
			close(IDLE_REASON);
		}
		else if (this.verified && nowMillis - this.lastReceivedMillis >= pingAfterMillis
				&& (answerAwaited || nowMillis - this.lastUsedMillis <= timing.silenceTimeoutMillis())) {
			this.unansweredSinceMillis = (this.unansweredSinceMillis > 0) ? this.unansweredSinceMillis
					: this.reactor.currentTimeMillis();
			write(new Ping(this.nextPingSequence++));
		}
	}

	void close(String reason) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (this.socket != null) {
			this.socket.close();
		}
		this.writeBuffer.recycle();
		boolean lost = !IDLE_REASON.equals(reason);
		if (this.messageWritten && lost) {
			LogEvent.PEER_LOST.log("peer", this.peer, "reason", reason);
		}
		this.onClosed.accept(lost);
		List<PendingMessage> unsent = List.copyOf(this.pending);
		this.pending.clear();
		unsent.forEach((entry) -> entry.onUnsent().run());
	}

	String peer() {
		return this.peer;
	}

	private record PendingMessage(Message message, Runnable onUnsent) {

	}

}
