package carawayswitch.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.GatewayBeat;

/**
 * Membership view of a gateway host: which hosts are live, which of them owns the pools,
 * and which receive heartbeats. Hosts are ranked by their processor time, then by
 * rendezvous hashing; the live host of the highest rank owns the pools. In a small fleet
 * every host sends heartbeats to every other one. In a larger fleet a host sends
 * heartbeats down the ranking until it has reached two live hosts, so that the traffic
 * grows linearly and not quadratically with the number of hosts. Invariants:
 * <ul>
 * <li>Another host is live only if a heartbeat of it has arrived within the last
 * {@link #DEAD_AFTER_MILLIS}.</li>
 * <li>A live host that is named by a leader receives heartbeats from all others shortly
 * after.</li>
 * </ul>
 * Times are monotonic milliseconds. Does no I/O. Not thread-safe.
 */
final class PeerView {

	/**
	 * Time without a heartbeat in milliseconds after which a host counts as dead; three
	 * lost heartbeats.
	 */
	static final long DEAD_AFTER_MILLIS = 900;

	/**
	 * Size in hosts of the largest fleet in which every host sends heartbeats to every
	 * other one.
	 */
	static final int SMALL_FLEET_HOSTS = 8;

	/**
	 * Number of leaders, the live hosts of the highest ranks that receive heartbeats: the
	 * owner and its successor.
	 */
	static final int LEADER_COUNT = 2;

	/** Number of hosts of an availability zone that read the store for the others. */
	static final int RELAYS_PER_ZONE = 2;

	/**
	 * Maximum number of hosts to which a host sends heartbeats in a large fleet, dead
	 * ones included.
	 */
	static final int MAX_HEARTBEAT_TARGETS = 16;

	/**
	 * Time in milliseconds for which a silent host is probed with heartbeats; longer than
	 * an attempt to connect.
	 */
	static final long PROBE_MILLIS = 1500;

	/**
	 * Pause in milliseconds before a host that did not answer is probed again; a
	 * restarted process is back by then.
	 */
	static final long PROBE_PAUSE_MILLIS = 3000;

	/**
	 * Time in milliseconds for which a silent host is suspected to be partitioned rather
	 * than dead; longer than most network partitions.
	 */
	static final long SUSPECTED_PARTITION_MILLIS = 15_000;

	private static final String HASH_PREFIX = "pools/";

	/** Orders hosts by rank, the highest first. */
	private static final Comparator<Peer> BY_RANK = Comparator.<Peer>comparingInt((peer) -> peer.record.capacity())
		.thenComparingLong((peer) -> peer.hash)
		.thenComparing((peer) -> peer.record.host())
		.reversed();

	private final Map<String, Peer> peers = new HashMap<>();

	private Peer self;

	/** All hosts of the view in the order of their rank, this one included. */
	private List<Peer> ranked = List.of();

	private TreeMap<String, Peer> live = new TreeMap<>();

	private boolean leaving;

	private int largestFleetSize = 1;

	private Map<String, Integer> hostsByZone = Map.of();

	PeerView(HostRecord self) {
		self(self);
		this.live.put(self.host(), this.self);
	}

	/**
	 * Replaces the record of this host.
	 * @param record the record of this host
	 */
	void self(HostRecord record) {
		this.self = new Peer(record);
		this.live.replace(record.host(), this.self);
		updateRanking();
	}

	HostRecord self() {
		return this.self.record;
	}

	/**
	 * Adds a host from its record in the directory. The record of a live host is replaced
	 * only by its own heartbeats.
	 * @param record the record
	 * @param now monotonic time in milliseconds
	 */
	void addFromDirectory(HostRecord record, long now) {
		Peer peer = this.peers.get(record.host());
		boolean replace = peer == null || (record.incarnation() != peer.record.incarnation() && !peer.isLive(now));
		if (!record.host().equals(this.self.record.host()) && replace) {
			put(new Peer(record), now);
		}
	}

	// A host that a leader counts as live is probed at once if it is dead in this view.
	private void addFromLeaders(HostRecord record, long now) {
		addFromDirectory(record, now);
		Peer peer = this.peers.get(record.host());
		if (peer != null && !peer.isLive(now) && now >= peer.probeUntilMillis) {
			peer.probeUntilMillis = 0;
		}
	}

	/**
	 * Removes a host whose record was removed from the directory, unless it is live.
	 * @param host id of the host
	 * @param now monotonic time in milliseconds
	 */
	void removeFromDirectory(String host, long now) {
		Peer peer = this.peers.get(host);
		if (peer != null && !peer.isLive(now)) {
			this.peers.remove(host);
			updateRanking();
		}
	}

	private void put(Peer peer, long now) {
		peer.addedMillis = now;
		this.peers.put(peer.record.host(), peer);
		this.largestFleetSize = Math.max(this.largestFleetSize, 1 + this.peers.size());
		updateRanking();
	}

	private void updateRanking() {
		this.ranked = Stream.concat(Stream.of(this.self), this.peers.values().stream()).sorted(BY_RANK).toList();
		this.hostsByZone = this.ranked.stream()
			.collect(Collectors.toUnmodifiableMap((peer) -> peer.record.zone(), (peer) -> 1, Integer::sum));
	}

	/**
	 * Applies a heartbeat.
	 * @param heartbeat the heartbeat
	 * @param now monotonic time in milliseconds
	 * @return true if the host was live, now or in the last computed view, and has been
	 * restarted since its last heartbeat
	 */
	boolean onHeartbeat(GatewayBeat heartbeat, long now) {
		Peer peer = this.peers.get(heartbeat.host());
		boolean wasLive = peer != null && (peer.isLive(now) || this.live.containsKey(heartbeat.host()));
		if (wasLive && heartbeat.incarnation() < peer.record.incarnation()) {
			return false;
		}
		boolean restarted = wasLive && heartbeat.incarnation() != peer.record.incarnation();
		HostRecord record = new HostRecord(heartbeat.host(), heartbeat.address(), heartbeat.zone(),
				heartbeat.incarnation(), heartbeat.capacity());
		if (peer == null || !peer.record.equals(record)) {
			peer = new Peer(record);
			put(peer, now);
		}
		peer.liveHeartbeatMillis = now;
		peer.lastHeartbeatMillis = now;
		peer.leaving = heartbeat.leaving();
		peer.probeUntilMillis = 0;
		heartbeat.leaders().forEach((leader) -> addFromLeaders(HostRecord.of(leader), now));
		return restarted;
	}

	/**
	 * Marks a host as dead until its next heartbeat, after the connection to it was lost.
	 * If the host is already dead, its current probe ends.
	 * @param host id of the host
	 * @param now monotonic time in milliseconds
	 */
	void markDead(String host, long now) {
		Peer peer = this.peers.get(host);
		if (peer != null && peer.isLive(now)) {
			// Only the connection may be lost, not the host: it is probed at once.
			peer.liveHeartbeatMillis = Peer.NEVER;
			peer.probeUntilMillis = 0;
		}
		else if (peer != null && peer.probeUntilMillis > now) {
			peer.probeUntilMillis = now;
		}
	}

	/** Marks this host as leaving: it owns no pools unless no other host is live. */
	void leave() {
		this.leaving = true;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns the hosts to which heartbeats are sent now, and starts the probes that are
	 * due.
	 * @param now monotonic time in milliseconds
	 * @return ids of the hosts
	 */
	List<String> heartbeatTargets(long now) {
		boolean smallFleet = this.peers.size() < SMALL_FLEET_HOSTS;
		List<String> targets = new ArrayList<>();
		int liveLeaders = 0;
		for (Peer peer : this.ranked) {
			boolean enough = liveLeaders == LEADER_COUNT || targets.size() == MAX_HEARTBEAT_TARGETS;
			if (enough && !smallFleet) {
				break;
			}
			if (peer != this.self && (peer.isLive(now) || peer.shouldProbe(now))) {
				targets.add(peer.record.host());
				liveLeaders += (peer.isLive(now) && !peer.leaving) ? 1 : 0;
			}
		}
		return targets;
	}

	/**
	 * Returns the live hosts of the highest ranks, this one included.
	 * @param now monotonic time in milliseconds
	 * @return records of the hosts
	 */
	List<HostRecord> leaders(long now) {
		return this.ranked.stream()
			.filter((peer) -> (peer == this.self) ? !this.leaving : peer.isLive(now) && !peer.leaving)
			.limit(LEADER_COUNT)
			.map((peer) -> peer.record)
			.toList();
	}

	/**
	 * Returns the hosts that this one may query in place of the store: the two highest
	 * ranked of its availability zone, unless this host is one of them. Their order
	 * depends on the hash of this host, so that the load is spread over both.
	 * @param excluded ids of hosts that failed to answer recently
	 * @return ids of the hosts in the order in which to query them; empty if the fleet is
	 * small or this host reads the store itself
	 */
	List<String> relays(Set<String> excluded) {
		if (this.peers.size() < SMALL_FLEET_HOSTS) {
			return List.of();
		}
		List<String> relays = new ArrayList<>(this.ranked.stream()
			.takeWhile((peer) -> peer != this.self)
			.filter((peer) -> peer.record.zone().equals(this.self.record.zone()) && !peer.leaving
					&& !excluded.contains(peer.record.host()))
			.limit(RELAYS_PER_ZONE)
			.map((peer) -> peer.record.host())
			.toList());
		if (relays.size() < RELAYS_PER_ZONE) {
			return List.of();
		}
		if (this.self.hash % 2 == 0) {
			Collections.reverse(relays);
		}
		return relays;
	}

	/**
	 * Recomputes the live hosts.
	 * @param now monotonic time in milliseconds
	 * @return ids of hosts that are no longer live, or nothing if the live hosts are the
	 * same as before
	 */
	Optional<List<String>> refresh(long now) {
		TreeMap<String, Peer> current = new TreeMap<>();
		this.peers.forEach((host, peer) -> {
			if (peer.isLive(now) && !peer.leaving) {
				current.put(host, peer);
			}
		});
		if (!this.leaving || current.isEmpty()) {
			current.put(this.self.record.host(), this.self);
		}
		boolean changed = !current.keySet().equals(this.live.keySet());
		List<String> lost = new ArrayList<>(this.live.keySet());
		lost.removeAll(current.keySet());
		this.live = current;
		return changed ? Optional.of(lost) : Optional.empty();
	}

	/**
	 * Returns the owner of the pools and of the token caps of organisations.
	 * @return id of the host
	 */
	String owner() {
		return this.live.values().stream().min(BY_RANK).orElse(this.self).record.host();
	}

	/**
	 * Returns the ids of the live hosts, this one included.
	 * @return the ids in alphabetical order
	 */
	List<String> live() {
		return List.copyOf(this.live.keySet());
	}

	/**
	 * Returns the largest number of hosts that were in this view at once, this one
	 * included.
	 * @return number of hosts
	 */
	int largestFleetSize() {
		return this.largestFleetSize;
	}

	/**
	 * Returns the share of the hosts that this one can reach. Hosts that fell silent
	 * recently may be alive on the other side of a network partition, with an owner of
	 * their own.
	 * @param since monotonic time in milliseconds since which all live hosts should have
	 * sent heartbeats
	 * @param now monotonic time in milliseconds
	 * @return more than 0, up to 1
	 */
	double reachableShare(long since, long now) {
		long silent = this.peers.values().stream().filter((peer) -> {
			long lastSeenMillis = Math.max(since, Math.max(peer.lastHeartbeatMillis, peer.addedMillis));
			return !peer.isLive(now) && !peer.leaving && now - lastSeenMillis < SUSPECTED_PARTITION_MILLIS;
		}).count();
		return this.live.size() / (double) (this.live.size() + silent);
	}

	/**
	 * Returns the internal address of a host.
	 * @param host id of the host
	 * @return the address as IP:PORT, or an empty string if the host is not in this view
	 */
	String address(String host) {
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.record.address() : "";
	}

	/**
	 * Returns the zone of a host.
	 * @param host id of the host
	 * @return name of the zone, or an empty string if the host is not in this view
	 */
	String zone(String host) {
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.record.zone() : "";
	}

	/**
	 * Returns the number of known hosts by zone, this one included. A host of a large
	 * fleet does not hear of all that die, so that dead ones count until their entry is
	 * removed.
	 * @return number of hosts by zone
	 */
	Map<String, Integer> hostsByZone() {
		return this.hostsByZone;
	}

	/**
	 * A host of the view and the state of its liveness. Confined to its view.
	 */
	private static final class Peer {

		static final long NEVER = Long.MIN_VALUE / 4;

		final HostRecord record;

		final long hash;

		/**
		 * Time of the latest heartbeat, or {@link #NEVER} after the host was marked as
		 * dead.
		 */
		long liveHeartbeatMillis = NEVER;

		/** Time of the latest heartbeat. */
		long lastHeartbeatMillis = NEVER;

		/** Time at which the record was added or replaced. */
		long addedMillis = NEVER;

		/** End of the latest probe, or 0 if a silent host is to be probed at once. */
		long probeUntilMillis;

		boolean leaving;

		Peer(HostRecord record) {
			this.record = record;
			this.hash = MurmurHash3.hash128x64((HASH_PREFIX + record.host()).getBytes(StandardCharsets.UTF_8))[0];
		}

		boolean isLive(long now) {
			return now - this.liveHeartbeatMillis < DEAD_AFTER_MILLIS;
		}

		// Starts a probe if one is due. A host that has never sent a heartbeat, or not
		// for a while, is probed at intervals.
		boolean shouldProbe(long now) {
			if (this.probeUntilMillis == 0 || now >= this.probeUntilMillis + PROBE_PAUSE_MILLIS) {
				this.probeUntilMillis = now + PROBE_MILLIS;
			}
			return now < this.probeUntilMillis;
		}

	}

}
