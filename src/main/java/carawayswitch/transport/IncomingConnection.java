package carawayswitch.transport;

import java.util.function.Consumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.LogEvent;
import carawayswitch.message.Hello;
import carawayswitch.message.Message;
import carawayswitch.message.Ping;
import carawayswitch.message.Pong;
import carawayswitch.message.Proof;

/**
 * Connection that another host opened to this one. Messages reach the handler only after
 * the peer has proved that it knows the shared secret. Confined to the reactor thread of
 * the transport.
 */
final class IncomingConnection {

	private final NioReactor reactor;

	private final PeerIdentity identity;

	private final ITcpSocket socket;

	private final PeerHandler handler;

	private final Consumer<IncomingConnection> onVerified;

	private final Consumer<IncomingConnection> onClosed;

	private final TrafficCounter traffic;

	private final byte[] challenge = PeerIdentity.newChallenge();

	private String peer = "";

	private long incarnation;

	private boolean verified;

	private boolean closed;

	private long lastReceivedMillis;

	IncomingConnection(NioReactor reactor, PeerIdentity identity, ITcpSocket socket, PeerHandler handler,
			TrafficCounter traffic, Consumer<IncomingConnection> onVerified, Consumer<IncomingConnection> onClosed) {
		this.reactor = reactor;
		this.identity = identity;
		this.socket = socket;
		this.handler = handler;
		this.traffic = traffic;
		this.onVerified = onVerified;
		this.onClosed = onClosed;
	}

	void start(long nowMillis) {
		this.lastReceivedMillis = nowMillis;
		BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(this.socket))
			.decodeStream(FrameCodec
				.decoder(() -> this.verified ? FrameCodec.MAX_FRAME_BYTES : FrameCodec.MAX_HANDSHAKE_BYTES))
			.streamTo(new FrameConsumer(this::onFrame))
			.subscribe((done, failure) -> close((failure != null) ? String.valueOf(failure.getMessage()) : ""));
	}

	private void onFrame(ByteBuf frame) {
		if (this.closed) {
			return;
		}
		this.lastReceivedMillis = this.reactor.currentTimeMillis();
		FrameCodec.receive(frame, this.traffic, this::close).forEach(this::onMessage);
	}

	private void onMessage(Message message) {
		if (this.verified) {
			if (message instanceof Ping ping) {
				write(new Pong(ping.sequence()));
			}
			else {
				this.handler.onMessage(this.peer, this.incarnation, message);
			}
		}
		else if (message instanceof Hello hello) {
			this.peer = hello.host();
			this.incarnation = hello.incarnation();
			write(new Hello(this.identity.host(), this.identity.incarnation(), this.challenge,
					PeerIdentity.PROTOCOL_VERSION));
			write(new Proof(this.identity.sign(hello.challenge())));
		}
		else if (message instanceof Proof proof && this.identity.verify(this.challenge, this.peer, proof.signature())) {
			this.verified = true;
			this.onVerified.accept(this);
		}
		else {
			close("authentication failed");
		}
	}

	/**
	 * Returns the host that opened the connection.
	 * @return id of the host, or empty if it is not verified yet or the connection is
	 * closed
	 */
	String verifiedPeer() {
		return (this.verified && !this.closed) ? this.peer : "";
	}

	void write(Message message) {
		ByteBuf frame = FrameCodec.encode(message);
		this.traffic.recordSent(this.peer, message, frame.readRemaining());
		this.socket.write(frame).whenException((failure) -> close(failure.getMessage()));
	}

	void closeIfSilent(long nowMillis, long handshakeTimeoutMillis, long idleTimeoutMillis) {
		long timeoutMillis = this.verified ? idleTimeoutMillis : handshakeTimeoutMillis;
		if (nowMillis - this.lastReceivedMillis > timeoutMillis) {
			close("silent for " + timeoutMillis + " ms");
		}
	}

	void close(String reason) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.socket.close();
		if (!this.verified) {
			LogEvent.PEER_REJECTED.log("peer", this.peer, "reason", reason);
		}
		this.onClosed.accept(this);
	}

}
