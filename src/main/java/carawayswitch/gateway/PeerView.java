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
import java.util.stream.Stream;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.GatewayBeat;

/**
 * What a gateway host knows of the others, and what follows from it: which are live, who
 * owns the pools, whom to send beats to. Hosts are ranked by their processor time, then
 * by rendezvous hashing; the live host of the highest rank owns the pools. In a small
 * fleet every host sends beats to every other one. In a larger one beats go down the
 * ranking until two live hosts were met, so that the traffic grows with the number of
 * hosts and not with its square. Invariants:
 * <ul>
 * <li>A host is live only while it was heard of within the dead time.</li>
 * <li>A live host that is named by a leader is sent beats by all others shortly
 * after.</li>
 * </ul>
 * Times are steady milliseconds. Does no I/O. Not safe for use by several threads.
 */
final class PeerView {

	/** Silence in milliseconds after which a host counts as dead; three lost beats. */
	static final long DEAD_AFTER_MILLIS = 900;

	/** Largest number of hosts in which every host sends beats to every other one. */
	static final int SMALL_FLEET_HOSTS = 8;

	/**
	 * Live hosts of the highest ranks that receive beats: the owner and its successor.
	 */
	static final int LEADER_COUNT = 2;

	/** Hosts of an availability zone that read the store for the others. */
	static final int RELAYS_PER_ZONE = 2;

	/** Most hosts that receive beats in a large fleet, dead ones included. */
	static final int MAX_HEARTBEAT_TARGETS = 16;

	/**
	 * Time in milliseconds for which a silent host is sent beats; longer than an attempt
	 * to connect.
	 */
	static final long PROBE_MILLIS = 1500;

	/**
	 * Pause in milliseconds until a host that stayed silent is tested again; a process
	 * that was restarted is back by then.
	 */
	static final long PROBE_PAUSE_MILLIS = 3000;

	/**
	 * Time in milliseconds for which a silent host may be out of reach and not gone;
	 * longer than most partitions of a network.
	 */
	static final long SUSPECTED_PARTITION_MILLIS = 15_000;

	private static final String HASH_PREFIX = "pools/";

	/** Highest rank first. */
	private static final Comparator<Peer> BY_RANK = Comparator.<Peer>comparingInt((peer) -> peer.record.capacity())
		.thenComparingLong((peer) -> peer.hash)
		.thenComparing((peer) -> peer.record.host())
		.reversed();

	private final Map<String, Peer> peers = new HashMap<>();

	private Peer self;

	/** All known hosts by rank, this one included. */
	private List<Peer> ranked = List.of();

	private TreeMap<String, Peer> live = new TreeMap<>();

	private boolean leaving;

	private int largestFleetSize = 1;

	PeerView(HostRecord self) {
		self(self);
		this.live.put(self.host(), this.self);
	}

	/**
	 * Replaces what this host tells of itself.
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
	 * Takes in a record of the directory.
	 * @param record the record
	 * @param now steady time in milliseconds
	 */
	void addFromDirectory(HostRecord record, long now) {
		Peer peer = this.peers.get(record.host());
		boolean replace = peer == null || (record.incarnation() != peer.record.incarnation() && !peer.alive(now));
		if (!record.host().equals(this.self.record.host()) && replace) {
			put(new Peer(record), now);
		}
	}

	// A host that another one has just heard of is worth a test.
	private void addFromLeaders(HostRecord record, long now) {
		addFromDirectory(record, now);
		Peer peer = this.peers.get(record.host());
		if (peer != null && !peer.alive(now) && now >= peer.probeUntilMillis) {
			peer.probeUntilMillis = 0;
		}
	}

	/**
	 * Forgets a host whose record was removed from the directory, unless it is live.
	 * @param host id of the host
	 * @param now steady time in milliseconds
	 */
	void removeFromDirectory(String host, long now) {
		Peer peer = this.peers.get(host);
		if (peer != null && !peer.alive(now)) {
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
	}

	/**
	 * Takes in a beat.
	 * @param heartbeat the beat
	 * @param now steady time in milliseconds
	 * @return true if the host was restarted since it was heard of last
	 */
	boolean onHeartbeat(GatewayBeat heartbeat, long now) {
		Peer peer = this.peers.get(heartbeat.host());
		boolean alive = peer != null && peer.alive(now);
		if (alive && heartbeat.incarnation() < peer.record.incarnation()) {
			return false;
		}
		boolean restarted = alive && heartbeat.incarnation() != peer.record.incarnation();
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
	 * Takes a host for dead until it is heard of again.
	 * @param host id of the host
	 * @param now steady time in milliseconds
	 */
	void markDead(String host, long now) {
		Peer peer = this.peers.get(host);
		if (peer != null && peer.alive(now)) {
			// The connection may be gone and not the host.
			peer.liveHeartbeatMillis = Peer.NEVER;
			peer.probeUntilMillis = 0;
		}
		else if (peer != null && peer.probeUntilMillis > now) {
			peer.probeUntilMillis = now;
		}
	}

	/** Makes this host one that owns nothing. */
	void leave() {
		this.leaving = true;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns the hosts that are sent beats now.
	 * @param now steady time in milliseconds
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
			if (peer != this.self && (peer.alive(now) || peer.shouldProbe(now))) {
				targets.add(peer.record.host());
				liveLeaders += (peer.alive(now) && !peer.leaving) ? 1 : 0;
			}
		}
		return targets;
	}

	/**
	 * Returns the live hosts of the highest ranks, this one included.
	 * @param now steady time in milliseconds
	 * @return records of the hosts
	 */
	List<HostRecord> leaders(long now) {
		return this.ranked.stream()
			.filter((peer) -> (peer == this.self) ? !this.leaving : peer.alive(now) && !peer.leaving)
			.limit(LEADER_COUNT)
			.map((peer) -> peer.record)
			.toList();
	}

	/**
	 * Returns the hosts that this one may ask in place of the store: the two of its
	 * availability zone that rank highest, unless this host is one of them. Hosts are
	 * spread over the two.
	 * @param excluded ids of hosts that did not answer lately
	 * @return ids of the hosts, or nothing if this host is to read the store
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
	 * Looks again at who is live.
	 * @param now steady time in milliseconds
	 * @return ids of hosts that are no longer live, or nothing if no host has come or
	 * gone
	 */
	Optional<List<String>> refresh(long now) {
		TreeMap<String, Peer> current = new TreeMap<>();
		this.peers.forEach((host, peer) -> {
			if (peer.alive(now) && !peer.leaving) {
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
	 * Returns the owner of the pools and of the caps of organisations.
	 * @return id of the host
	 */
	String owner() {
		return this.live.values().stream().min(BY_RANK).orElse(this.self).record.host();
	}

	/**
	 * Returns the ids of the live hosts, this one included.
	 * @return an ordered list
	 */
	List<String> live() {
		return List.copyOf(this.live.keySet());
	}

	/**
	 * Returns the largest number of hosts that this host has known at once.
	 * @return the number
	 */
	int largestFleetSize() {
		return this.largestFleetSize;
	}

	/**
	 * Returns the part of the hosts that this one reaches. Hosts that fell silent lately
	 * may live on out of reach, with an owner of their own.
	 * @param since time since which all live hosts should have sent beats
	 * @param now steady time in milliseconds
	 * @return more than 0, up to 1
	 */
	double reachableShare(long since, long now) {
		long silent = this.peers.values().stream().filter((peer) -> {
			long lastSeenMillis = Math.max(since, Math.max(peer.lastHeartbeatMillis, peer.addedMillis));
			return !peer.alive(now) && !peer.leaving && now - lastSeenMillis < SUSPECTED_PARTITION_MILLIS;
		}).count();
		return this.live.size() / (double) (this.live.size() + silent);
	}

	/**
	 * Returns where a host listens.
	 * @param host id of the host
	 * @return the address, or empty if it is not known
	 */
	String address(String host) {
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.record.address() : "";
	}

	/**
	 * Another host. Confined to its owner.
	 */
	private static final class Peer {

		static final long NEVER = Long.MIN_VALUE / 4;

		final HostRecord record;

		final long hash;

		/**
		 * Time of the newest beat, or {@link #NEVER} since the host was taken for dead.
		 */
		long liveHeartbeatMillis = NEVER;

		/** Time of the newest beat. */
		long lastHeartbeatMillis = NEVER;

		long addedMillis = NEVER;

		/** End of the current test in milliseconds, or 0 if none has begun. */
		long probeUntilMillis;

		boolean leaving;

		Peer(HostRecord record) {
			this.record = record;
			this.hash = MurmurHash3.hash128x64((HASH_PREFIX + record.host()).getBytes(StandardCharsets.UTF_8))[0];
		}

		boolean alive(long now) {
			return now - this.liveHeartbeatMillis < DEAD_AFTER_MILLIS;
		}

		// A host that was never heard of, or not for a while, is tested at intervals.
		boolean shouldProbe(long now) {
			if (this.probeUntilMillis == 0 || now >= this.probeUntilMillis + PROBE_PAUSE_MILLIS) {
				this.probeUntilMillis = now + PROBE_MILLIS;
			}
			return now < this.probeUntilMillis;
		}

	}

}
