package carawayswitch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.message.Message;
import carawayswitch.time.CheckAfterInput;

/**
 * Exchanges messages with other hosts over TCP. A host sends on the connections that it
 * opened and receives on those that others opened, on which it may also reply.
 * Connections are opened on demand, pinged, and replaced when the peer falls silent.
 * {@link #send} may be called by any thread; everything else is confined to the thread of
 * the reactor.
 */
public final class PeerTransport {

	/**
	 * Time without use after which an outgoing connection is closed. Incoming connections
	 * are kept for the silence timeout longer.
	 */
	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	/**
	 * Connections that may wait to be accepted; all hosts may connect at the same time.
	 */
	private static final int ACCEPT_BACKLOG = 1024;

	/**
	 * Fraction of the ping interval for which a host is not pinged after a frame was
	 * received from it; answers to other messages replace pings.
	 */
	private static final double PING_AFTER_FRACTION = 0.9;

	private final NioReactor reactor;

	private final PeerIdentity identity;

	private final Timing timing;

	private final Function<String, String> addressResolver;

	private final PeerHandler handler;

	private final Map<String, OutgoingConnection> outgoing = new HashMap<>();

	private final Set<IncomingConnection> incoming = new HashSet<>();

	/** The newest verified connection that each host has opened, by id of the host. */
	private final Map<String, IncomingConnection> replyConnections = new HashMap<>();

	private final TrafficCounter traffic = new TrafficCounter();

	private final CheckAfterInput probes;

	private SimpleServer server;

	private boolean stopped;

	/**
	 * Creates a transport that is not started.
	 * @param reactor event loop that runs the transport
	 * @param identity identity of this host
	 * @param timing ping interval and silence timeout
	 * @param addressResolver returns the address of a host as {@code ip:port}, or empty
	 * if it is unknown
	 * @param handler receives messages and reports of lost connections
	 */
	public PeerTransport(NioReactor reactor, PeerIdentity identity, Timing timing,
			Function<String, String> addressResolver, PeerHandler handler) {
		this.reactor = reactor;
		this.identity = identity;
		this.timing = timing;
		this.addressResolver = addressResolver;
		this.handler = handler;
		this.probes = CheckAfterInput.on(reactor, this::probeConnections);
	}

	/**
	 * Starts to listen for connections of other hosts and to ping the open ones.
	 * @param address the address; port 0 lets the operating system choose one
	 * @return the bound address
	 * @throws IOException if the address cannot be bound
	 */
	public InetSocketAddress listen(InetSocketAddress address) throws IOException {
		this.server = SimpleServer.builder(this.reactor, this::accept)
			.withListenAddress(address)
			.withServerSocketSettings(ServerSocketSettings.create(ACCEPT_BACKLOG))
			.build();
		this.server.listen();
		scheduleProbes();
		return this.server.getBoundAddresses().get(0);
	}

	private void accept(ITcpSocket socket) {
		IncomingConnection connection = new IncomingConnection(this.reactor, this.identity, socket, this.handler,
				this.traffic, (verified) -> this.replyConnections.put(verified.verifiedPeer(), verified),
				this::removeIncoming);
		this.incoming.add(connection);
		connection.start(this.reactor.currentTimeMillis());
	}

	private void removeIncoming(IncomingConnection connection) {
		this.incoming.remove(connection);
		this.replyConnections.values().remove(connection);
	}

	private void scheduleProbes() {
		this.reactor.delayBackground(this.timing.pingIntervalMillis(), () -> {
			if (!this.stopped) {
				this.probes.request(this.reactor.currentTimeMillis());
				scheduleProbes();
			}
		});
	}

	private void probeConnections(long nowMillis) {
		Set<String> awaited = this.handler.awaitedPeers();
		long pingAfterMillis = (long) (this.timing.pingIntervalMillis() * PING_AFTER_FRACTION);
		for (OutgoingConnection connection : List.copyOf(this.outgoing.values())) {
			connection.probe(nowMillis, pingAfterMillis, this.timing, IDLE_TIMEOUT_MILLIS,
					awaited.contains(connection.peer()));
		}
		for (IncomingConnection connection : List.copyOf(this.incoming)) {
			connection.closeIfSilent(nowMillis, this.timing.handshakeTimeoutMillis(),
					IDLE_TIMEOUT_MILLIS + this.timing.silenceTimeoutMillis());
		}
	}

	/**
	 * Sends a message. May be called by any thread.
	 * @param peer id of the receiving host
	 * @param message the message
	 * @param onUnsent run on the reactor thread if no byte of the message was sent
	 */
	public void send(String peer, Message message, Runnable onUnsent) {
		if (this.reactor.inReactorThread()) {
			sendOnReactorThread(peer, message, onUnsent);
		}
		else {
			this.reactor.execute(() -> sendOnReactorThread(peer, message, onUnsent));
		}
	}

	/**
	 * Sends a message whose loss does no harm; the sender is not notified if it cannot be
	 * sent. May be called by any thread.
	 * @param peer id of the receiving host
	 * @param message the message
	 */
	public void send(String peer, Message message) {
		send(peer, message, () -> {
		});
	}

	/**
	 * Replies on the connection that the other host has opened, so that the reply also
	 * shows that this connection works. Sends on a connection of this host if the other
	 * one has none open.
	 * @param peer id of the receiving host
	 * @param message the message
	 */
	public void reply(String peer, Message message) {
		IncomingConnection connection = this.replyConnections.get(peer);
		if (connection != null) {
			connection.write(message);
		}
		else {
			send(peer, message);
		}
	}

	private void sendOnReactorThread(String peer, Message message, Runnable onUnsent) {
		OutgoingConnection connection = this.outgoing.get(peer);
		long nowMillis = this.reactor.currentTimeMillis();
		if (connection == null) {
			connection = open(peer, nowMillis);
		}
		if (connection == null) {
			onUnsent.run();
		}
		else {
			connection.send(message, onUnsent, nowMillis);
		}
	}

	private OutgoingConnection open(String peer, long nowMillis) {
		String address = this.addressResolver.apply(peer);
		if (address.isEmpty() || this.stopped) {
			return null;
		}
		OutgoingConnection[] holder = new OutgoingConnection[1];
		OutgoingConnection connection = new OutgoingConnection(this.reactor, this.identity, this.handler, peer,
				this.traffic, (lost) -> {
					this.outgoing.remove(peer, holder[0]);
					if (lost) {
						this.handler.onPeerLost(peer);
					}
				});
		holder[0] = connection;
		this.outgoing.put(peer, connection);
		int colon = address.lastIndexOf(':');
		connection.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				nowMillis);
		return connection;
	}

	/**
	 * Returns the traffic of all connections since the start.
	 * @return the counter
	 */
	public TrafficCounter traffic() {
		return this.traffic;
	}

	/**
	 * Closes all connections and the listener. No connection is opened afterwards.
	 * @return completes when the server is closed
	 */
	public Promise<?> stop() {
		this.stopped = true;
		List.copyOf(this.outgoing.values()).forEach((connection) -> connection.close(OutgoingConnection.IDLE_REASON));
		List.copyOf(this.incoming).forEach((connection) -> connection.close("stopped"));
		return (this.server != null) ? this.server.close() : Promise.complete();
	}

	/**
	 * Ping interval and silence timeout of the connections. Immutable.
	 *
	 * @param pingIntervalMillis time between two pings in milliseconds
	 * @param silenceTimeoutMillis time in milliseconds without an answer after which a
	 * connection is replaced
	 */
	public record Timing(long pingIntervalMillis, long silenceTimeoutMillis) {

		/**
		 * Shortest time in milliseconds for which a handshake may stay unanswered. A host
		 * that has just started answers its first handshake slowly.
		 */
		private static final long MIN_HANDSHAKE_TIMEOUT_MILLIS = 1000;

		/**
		 * Returns the time for which the connect and the handshake may stay unanswered.
		 * @return time in milliseconds, at least the silence timeout
		 */
		long handshakeTimeoutMillis() {
			return Math.max(this.silenceTimeoutMillis, MIN_HANDSHAKE_TIMEOUT_MILLIS);
		}

	}

}
