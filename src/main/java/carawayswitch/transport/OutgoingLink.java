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
 * Connection that this host opened to another one, which may reply on it. Invariant: the
 * callback of a message is run only if no byte of the message was handed to the socket.
 * Confined to the thread of the transport.
 */
final class OutgoingLink {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);

	/** Reason of a close that loses nothing. */
	static final String IDLE = "idle";

	private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

	private final NioReactor reactor;

	private final PeerIdentity identity;

	private final PeerHandler handler;

	private final String peer;

	private final Consumer<Boolean> onClosed;

	private final List<Pending> pending = new ArrayList<>();

	private final ByteBufs buffered = new ByteBufs();

	private final byte[] challenge = PeerIdentity.newChallenge();

	private final TrafficCounter traffic;

	private TcpSocket socket;

	private boolean ready;

	private boolean writing;

	private boolean closed;

	private boolean handedOver;

	/** Time of the first probe since the other host was heard of, or 0. */
	private long unansweredSince;

	private long heardAt;

	private long peerIncarnation;

	private long usedAt;

	private long sequence;

	OutgoingLink(NioReactor reactor, PeerIdentity identity, PeerHandler handler, String peer, TrafficCounter traffic,
			Consumer<Boolean> onClosed) {
		this.reactor = reactor;
		this.identity = identity;
		this.handler = handler;
		this.peer = peer;
		this.traffic = traffic;
		this.onClosed = onClosed;
	}

	void connect(InetSocketAddress address, long now) {
		this.unansweredSince = now;
		this.usedAt = now;
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
				PeerIdentity.VERSION);
		write(Frames.encode(hello));
		BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(connected))
			.decodeStream(Frames.decoder(() -> this.ready ? Frames.MAX_BYTES : Frames.MAX_HANDSHAKE_BYTES))
			.streamTo(new FrameConsumer(this::onFrame))
			.subscribe((done, failure) -> close((failure != null) ? failure.getMessage() : "closed by peer"));
	}

	private void onFrame(ByteBuf frame) {
		if (this.closed) {
			return;
		}
		this.unansweredSince = 0;
		this.heardAt = this.reactor.currentTimeMillis();
		Frames.receive(frame, this.traffic, this::close).forEach(this::onMessage);
	}

	private void onMessage(Message message) {
		if (message instanceof Hello hello) {
			this.peerIncarnation = hello.incarnation();
			write(Frames.encode(new Proof(this.identity.sign(hello.challenge()))));
		}
		else if (message instanceof Proof proof && !this.ready) {
			onProof(proof);
		}
		else if (this.ready && !(message instanceof Pong)) {
			this.handler.onMessage(this.peer, this.peerIncarnation, message);
		}
	}

	private void onProof(Proof proof) {
		if (!this.identity.verify(this.challenge, this.peer, proof.signature())) {
			LogEvent.PEER_REJECTED.log("peer", this.peer, "reason", "wrong secret or host id");
			close("authentication failed");
			return;
		}
		this.ready = true;
		List<Pending> waiting = List.copyOf(this.pending);
		this.pending.clear();
		waiting.forEach((entry) -> handOver(entry.message()));
	}

	void send(Message message, Runnable onUnsent, long now) {
		this.usedAt = now;
		boolean full = this.buffered.remainingBytes() > MAX_BUFFERED_BYTES;
		if (this.closed || full) {
			onUnsent.run();
		}
		else if (this.ready) {
			handOver(message);
		}
		else {
			this.pending.add(new Pending(message, onUnsent));
		}
	}

	private void handOver(Message message) {
		this.handedOver = true;
		write(Frames.encode(message));
	}

	private void write(ByteBuf frame) {
		this.traffic.sent(frame.readRemaining());
		this.buffered.add(frame);
		if (!this.writing) {
			this.writing = true;
			this.reactor.postLast(this::flush);
		}
	}

	private void flush() {
		if (this.closed || this.buffered.isEmpty()) {
			this.writing = false;
			return;
		}
		this.socket.write(this.buffered.takeRemaining()).subscribe((done, failure) -> {
			if (failure != null) {
				close(failure.getMessage());
			}
			else {
				flush();
			}
		});
	}

	/**
	 * Probes the connection while something is expected of the other host that has not
	 * been heard of lately, and closes it when it has been silent or idle for too long.
	 * @param now time in milliseconds
	 * @param quietMillis time without a word in milliseconds after which a probe is sent
	 * @param silenceMillis silence in milliseconds after which a probed connection is
	 * closed
	 * @param idleMillis time without use in milliseconds after which it is closed
	 * @param awaited true if an answer of the other host is awaited
	 */
	void probe(long now, long quietMillis, long silenceMillis, long idleMillis, boolean awaited) {
		boolean silent = this.unansweredSince > 0 && now - this.unansweredSince > silenceMillis;
		if (silent) {
			close("no answer for " + silenceMillis + " ms");
		}
		else if (this.ready && !awaited && now - this.usedAt > idleMillis) {
			close(IDLE);
		}
		else if (this.ready && now - this.heardAt >= quietMillis && (awaited || now - this.usedAt <= silenceMillis)) {
			this.unansweredSince = (this.unansweredSince > 0) ? this.unansweredSince : now;
			write(Frames.encode(new Ping(this.sequence++)));
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
		this.buffered.recycle();
		boolean lost = !IDLE.equals(reason);
		if (this.handedOver && lost) {
			LogEvent.PEER_LOST.log("peer", this.peer, "reason", reason);
		}
		this.onClosed.accept(lost);
		List<Pending> unsent = List.copyOf(this.pending);
		this.pending.clear();
		unsent.forEach((entry) -> entry.onUnsent().run());
	}

	String peer() {
		return this.peer;
	}

	private record Pending(Message message, Runnable onUnsent) {

	}

}
