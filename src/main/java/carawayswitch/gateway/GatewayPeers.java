package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.activej.reactor.nio.NioReactor;
import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.GatewayBeat;
import carawayswitch.message.Message;
import carawayswitch.transport.PeerHandler;
import carawayswitch.transport.PeerIdentity;
import carawayswitch.transport.PeerTransport;

/**
 * The other gateway hosts: finds them in the directory, notices by beats which are alive,
 * and names the owner of the pools by rendezvous hashing over the live ones. Views of two
 * hosts may differ for a while; nothing that must not happen twice depends on them.
 * Confined to the thread of its event loop.
 */
final class GatewayPeers implements PeerHandler {

	/** Time between two beats in milliseconds. */
	static final long BEAT_MILLIS = 250;

	/** Silence in milliseconds after which a host counts as dead; three lost beats. */
	static final long DEAD_AFTER_MILLIS = 900;

	/**
	 * Time in milliseconds for which a host that was never heard of is still tried. Hosts
	 * that start at once read each other's records before the others listen.
	 */
	static final long TRY_MILLIS = 20_000;

	/** Silence in milliseconds after which a probed connection is replaced. */
	private static final long SILENCE_MILLIS = 700;

	/**
	 * Hosts to which beats are sent: the owner of the pools and those that would follow
	 * it. In a fleet of up to one more, every host knows every other one.
	 */
	static final int CANDIDATES = 7;

	private static final String OWNER_KEY = "pools/";

	private final NioReactor reactor;

	private HostRecord self;

	private final PeerTransport transport;

	private final DecisionLog log;

	private final Listener listener;

	private final Map<String, Peer> peers = new HashMap<>();

	private Set<String> live = new TreeSet<>();

	private boolean leaving;

	private int largestSeen = 1;

	GatewayPeers(NioReactor reactor, HostRecord self, String clusterName, DecisionLog log, Listener listener) {
		this.reactor = reactor;
		this.self = self;
		this.log = log;
		this.listener = listener;
		this.live.add(self.host());
		this.transport = new PeerTransport(reactor, new PeerIdentity(self.host(), self.incarnation(), clusterName),
				new PeerTransport.Times(BEAT_MILLIS, SILENCE_MILLIS), this::address, this);
	}

	/**
	 * Starts to listen.
	 * @param address the address; port 0 lets the system choose one
	 * @return the record of this host with the address that it listens on
	 * @throws IOException if the address cannot be bound
	 */
	HostRecord start(InetSocketAddress address) throws IOException {
		InetSocketAddress bound = this.transport.listen(address);
		this.self = new HostRecord(this.self.host(), bound.getAddress().getHostAddress() + ":" + bound.getPort(),
				this.self.zone(), this.self.incarnation());
		beat();
		return this.self;
	}

	private String address(String host) {
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.address : "";
	}

	/**
	 * Takes in records of the directory.
	 * @param records the records
	 * @param now steady time in milliseconds
	 */
	void known(Iterable<HostRecord> records, long now) {
		for (HostRecord record : records) {
			if (!record.host().equals(this.self.host())) {
				Peer peer = this.peers.computeIfAbsent(record.host(), (key) -> new Peer());
				if (record.incarnation() != peer.incarnation && !peer.alive(now)) {
					peer.incarnation = record.incarnation();
					peer.address = record.address();
					peer.zone = record.zone();
					peer.learntAt = now;
				}
			}
		}
	}

	private void beat() {
		long now = Clocks.steadyMillis();
		candidates(now).forEach((host) -> this.transport.send(host, message(false)));
		refresh(now);
		this.reactor.delayBackground(BEAT_MILLIS, this::beat);
	}

	private GatewayBeat message(boolean reply) {
		return new GatewayBeat(this.self.host(), this.self.incarnation(), this.self.address(), this.self.zone(),
				this.leaving, reply);
	}

	// The hosts that may own the pools now or next. Only they need to know all others.
	private List<String> candidates(long now) {
		return this.peers.entrySet()
			.stream()
			.filter((each) -> now - Math.max(each.getValue().heardAt, each.getValue().learntAt) < TRY_MILLIS)
			.map(Map.Entry::getKey)
			.sorted(Comparator.comparingLong(GatewayPeers::rank).reversed())
			.limit(CANDIDATES)
			.toList();
	}

	private static long rank(String host) {
		return MurmurHash3.hash128x64((OWNER_KEY + host).getBytes(StandardCharsets.UTF_8))[0];
	}

	private void refresh(long now) {
		Set<String> current = new TreeSet<>();
		if (!this.leaving) {
			current.add(this.self.host());
		}
		this.peers.forEach((host, peer) -> {
			if (peer.alive(now) && !peer.leaving) {
				current.add(host);
			}
		});
		if (current.isEmpty()) {
			current.add(this.self.host());
		}
		this.largestSeen = Math.max(this.largestSeen, Math.max(current.size(), known(now)));
		if (!current.equals(this.live)) {
			Set<String> before = this.live;
			this.live = current;
			this.log.write(LogEvent.VIEW_CHANGED, "live", current.size(), "hosts", String.join(",", current));
			List<String> lost = new ArrayList<>(before);
			lost.removeAll(current);
			this.listener.onViewChanged(lost);
		}
	}

	// Hosts that the directory or a beat has told of lately, this one included.
	private int known(long now) {
		return 1 + (int) this.peers.values()
			.stream()
			.filter((peer) -> now - Math.max(peer.heardAt, peer.learntAt) < TRY_MILLIS)
			.count();
	}

	@Override
	public void onMessage(String peer, long incarnation, Message message) {
		long now = Clocks.steadyMillis();
		if (message instanceof GatewayBeat beat) {
			onBeat(beat, now);
		}
		else {
			this.listener.onMessage(peer, message, now);
		}
	}

	private void onBeat(GatewayBeat beat, long now) {
		Peer peer = this.peers.computeIfAbsent(beat.host(), (key) -> new Peer());
		if (beat.incarnation() < peer.incarnation && peer.alive(now)) {
			return;
		}
		if (beat.incarnation() != peer.incarnation && peer.alive(now)) {
			this.listener.onViewChanged(List.of(beat.host()));
		}
		peer.incarnation = beat.incarnation();
		peer.address = beat.address();
		peer.zone = beat.zone();
		peer.leaving = beat.leaving();
		peer.heardAt = now;
		if (!beat.reply() && !candidates(now).contains(beat.host())) {
			this.transport.send(beat.host(), message(true));
		}
		refresh(now);
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.listener.awaitedPeers();
	}

	@Override
	public void onPeerLost(String host) {
		Peer peer = this.peers.get(host);
		if (peer != null) {
			peer.heardAt = Peer.NEVER;
			refresh(Clocks.steadyMillis());
		}
	}

	/**
	 * Returns the owner of the pools and of the caps of organisations.
	 * @return id of the host
	 */
	String owner() {
		return this.live.stream().max(Comparator.comparingLong(GatewayPeers::rank)).orElse(this.self.host());
	}

	void send(String host, Message message) {
		this.transport.send(host, message);
	}

	/**
	 * Announces that this host stops, so that it owns nothing any more.
	 */
	void leave() {
		this.leaving = true;
		refresh(Clocks.steadyMillis());
	}

	String self() {
		return this.self.host();
	}

	/**
	 * Returns the largest number of hosts that this host has known at once.
	 * @return the number
	 */
	int largestSeen() {
		return this.largestSeen;
	}

	int liveCount() {
		return this.live.size();
	}

	long sentBytes() {
		return this.transport.traffic().sentBytes();
	}

	/**
	 * Receives what concerns other hosts.
	 */
	interface Listener {

		/**
		 * Handles a message that is not about liveness.
		 * @param peer id of the sending host
		 * @param message the message
		 * @param now steady time in milliseconds
		 */
		void onMessage(String peer, Message message, long now);

		/**
		 * Handles a change of the live hosts.
		 * @param lost ids of hosts that are dead, leaving or restarted
		 */
		void onViewChanged(List<String> lost);

		/**
		 * Returns the hosts whose answers are awaited.
		 * @return ids of the hosts
		 */
		Set<String> awaitedPeers();

	}

	/**
	 * Another host. Confined to its owner.
	 */
	private static final class Peer {

		static final long NEVER = Long.MIN_VALUE / 4;

		String address = "";

		String zone = "";

		long incarnation;

		long learntAt = NEVER;

		long heardAt = NEVER;

		boolean leaving;

		boolean alive(long now) {
			return now - this.heardAt < DEAD_AFTER_MILLIS;
		}

	}

}
