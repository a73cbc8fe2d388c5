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

/**
 * Sends messages to other hosts and receives theirs. A host sends on the connection that
 * it opened and receives on those that others opened, on which it may also reply.
 * Connections are opened on demand, probed, and replaced when they fall silent.
 * {@link #send} may be called by any thread; everything else is confined to the thread of
 * the reactor.
 */
public final class PeerTransport {

	private static final long IDLE_MILLIS = 60_000;

	/** Connections that may wait to be accepted; all hosts may open theirs at once. */
	private static final int BACKLOG = 1024;

	/**
	 * Part of the time between two probes for which a host that was heard of is not
	 * probed again; answers to other messages take the place of probes.
	 */
	private static final double QUIET_SHARE = 0.9;

	private final NioReactor reactor;

	private final PeerIdentity identity;

	private final Times times;

	private final Function<String, String> addressBook;

	private final PeerHandler handler;

	private final Map<String, OutgoingLink> outgoing = new HashMap<>();

	private final Set<IncomingLink> incoming = new HashSet<>();

	/** The newest connection that each host has opened. */
	private final Map<String, IncomingLink> replyLinks = new HashMap<>();

	private final TrafficCounter traffic = new TrafficCounter();

	private SimpleServer server;

	private boolean stopped;

	/**
	 * Creates a transport that is not started.
	 * @param reactor the event loop
	 * @param identity identity of this host
	 * @param times lengths of time
	 * @param addressBook returns the address of a host, or empty if it is not known
	 * @param handler receives messages
	 */
	public PeerTransport(NioReactor reactor, PeerIdentity identity, Times times, Function<String, String> addressBook,
			PeerHandler handler) {
		this.reactor = reactor;
		this.identity = identity;
		this.times = times;
		this.addressBook = addressBook;
		this.handler = handler;
	}

	/**
	 * Starts to listen.
	 * @param address the address; port 0 lets the system choose one
	 * @return the bound address
	 * @throws IOException if the address cannot be bound
	 */
	public InetSocketAddress listen(InetSocketAddress address) throws IOException {
		this.server = SimpleServer.builder(this.reactor, this::accept)
			.withListenAddress(address)
			.withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
			.build();
		this.server.listen();
		schedule();
		return this.server.getBoundAddresses().get(0);
	}

	private void accept(ITcpSocket socket) {
		IncomingLink link = new IncomingLink(this.reactor, this.identity, socket, this.handler, this.traffic,
				(verified) -> this.replyLinks.put(verified.verifiedPeer(), verified), this::forget);
		this.incoming.add(link);
		link.start(this.reactor.currentTimeMillis());
	}

	private void forget(IncomingLink link) {
		this.incoming.remove(link);
		this.replyLinks.values().remove(link);
	}

	private void schedule() {
		this.reactor.delayBackground(this.times.pingMillis(), () -> {
			if (!this.stopped) {
				probe();
				schedule();
			}
		});
	}

	private void probe() {
		long now = this.reactor.currentTimeMillis();
		Set<String> awaited = this.handler.awaitedPeers();
		long quietMillis = (long) (this.times.pingMillis() * QUIET_SHARE);
		for (OutgoingLink link : List.copyOf(this.outgoing.values())) {
			link.probe(now, quietMillis, this.times.silenceMillis(), IDLE_MILLIS, awaited.contains(link.peer()));
		}
		for (IncomingLink link : List.copyOf(this.incoming)) {
			link.probe(now, this.times.silenceMillis(), IDLE_MILLIS + this.times.silenceMillis());
		}
	}

	/**
	 * Sends a message. May be called by any thread.
	 * @param peer id of the receiving host
	 * @param message the message
	 * @param onUnsent run on the transport's thread if no byte of the message was sent
	 */
	public void send(String peer, Message message, Runnable onUnsent) {
		if (this.reactor.inReactorThread()) {
			sendNow(peer, message, onUnsent);
		}
		else {
			this.reactor.execute(() -> sendNow(peer, message, onUnsent));
		}
	}

	/**
	 * Sends a message whose loss does no harm. May be called by any thread.
	 * @param peer id of the receiving host
	 * @param message the message
	 */
	public void send(String peer, Message message) {
		send(peer, message, () -> {
		});
	}

	/**
	 * Answers a message on the connection on which the other host sends, so that an
	 * answer also shows that the connection works. A host that has none open is sent to.
	 * @param peer id of the receiving host
	 * @param message the message
	 */
	public void reply(String peer, Message message) {
		IncomingLink link = this.replyLinks.get(peer);
		if (link != null) {
			link.write(message);
		}
		else {
			send(peer, message);
		}
	}

	private void sendNow(String peer, Message message, Runnable onUnsent) {
		OutgoingLink link = this.outgoing.get(peer);
		long now = this.reactor.currentTimeMillis();
		if (link == null) {
			link = open(peer, now);
		}
		if (link == null) {
			onUnsent.run();
		}
		else {
			link.send(message, onUnsent, now);
		}
	}

	private OutgoingLink open(String peer, long now) {
		String address = this.addressBook.apply(peer);
		if (address.isEmpty() || this.stopped) {
			return null;
		}
		OutgoingLink[] holder = new OutgoingLink[1];
		OutgoingLink link = new OutgoingLink(this.reactor, this.identity, this.handler, peer, this.traffic, (lost) -> {
			this.outgoing.remove(peer, holder[0]);
			if (lost) {
				this.handler.onPeerLost(peer);
			}
		});
		holder[0] = link;
		this.outgoing.put(peer, link);
		int colon = address.lastIndexOf(':');
		link.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				now);
		return link;
	}

	/**
	 * Returns the traffic so far.
	 * @return the counter
	 */
	public TrafficCounter traffic() {
		return this.traffic;
	}

	/**
	 * Closes all connections.
	 * @return completes when the server is closed
	 */
	public Promise<?> stop() {
		this.stopped = true;
		List.copyOf(this.outgoing.values()).forEach((link) -> link.close(OutgoingLink.IDLE));
		List.copyOf(this.incoming).forEach((link) -> link.close("stopped"));
		return (this.server != null) ? this.server.close() : Promise.complete();
	}

	/**
	 * Lengths of time of the transport. Immutable.
	 *
	 * @param pingMillis time between two probes in milliseconds
	 * @param silenceMillis silence in milliseconds after which a connection is replaced
	 */
	public record Times(long pingMillis, long silenceMillis) {

	}

}
