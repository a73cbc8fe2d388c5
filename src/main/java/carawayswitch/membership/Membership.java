package carawayswitch.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import carawayswitch.guard.Reachability;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.Heartbeat;
import carawayswitch.message.Member;

/**
 * Gossip-based failure detector: determines which hosts are live or leaving. A host is
 * live if a higher heartbeat counter of it arrived, directly or through a peer, within
 * the time after which a silent host counts as dead. A host is leaving as soon as any
 * source reports it, until it restarts with a higher incarnation. Each round sends
 * heartbeats to a bounded number of hosts, and a heartbeat carries a bounded number of
 * members. Times are monotonic milliseconds. Not thread-safe, unlike the
 * {@link MembershipView} that it returns.
 */
public final class Membership {

	/** Maximum number of other members that a heartbeat carries. */
	static final int GOSSIP_MEMBERS = 4;

	/**
	 * Time in milliseconds for which a host counts as unreachable after a failed
	 * connection.
	 */
	private static final long AVOID_UNREACHABLE_MILLIS = 2000;

	/** An unlisted host is removed after this multiple of the dead timeout. */
	private static final int REMOVAL_FACTOR = 20;

	private final String host;

	private final long incarnation;

	private final String zone;

	private final String region;

	private String address;

	private final int fanout;

	private final long deadAfterMillis;

	private final TreeMap<String, PeerState> peers = new TreeMap<>();

	private long heartbeatCounter;

	private long appliedOffset = -1;

	private boolean leaving;

	private int targetCursor;

	private int gossipCursor;

	/**
	 * Creates a membership that contains only this host.
	 * @param self this host
	 * @param fanout number of hosts that receive a heartbeat in a round
	 * @param deadAfterMillis silence in milliseconds after which a host counts as dead
	 */
	public Membership(Member self, int fanout, long deadAfterMillis) {
		this.host = self.host();
		this.incarnation = self.incarnation();
		this.zone = self.zone();
		this.region = self.region();
		this.address = self.address();
		this.fanout = fanout;
		this.deadAfterMillis = deadAfterMillis;
	}

	/**
	 * Returns the current description of this host.
	 * @return this host
	 */
	public Member self() {
		return new Member(this.host, this.incarnation, this.heartbeatCounter, this.zone, this.region, this.address,
				this.leaving, this.appliedOffset);
	}

	/**
	 * Records how much of the log this host has applied.
	 * @param offset offset of the last applied record
	 */
	public void onLogApplied(long offset) {
		this.appliedOffset = offset;
	}

	/**
	 * Sets the internal address of this host once it is bound.
	 * @param address the address
	 */
	public void onAddressBound(String address) {
		this.address = address;
	}

	/**
	 * Marks this host as leaving. This cannot be undone.
	 */
	public void startLeaving() {
		this.leaving = true;
	}

	/**
	 * Merges the platform's host list. Listed hosts that are not known yet are added, but
	 * are not live until a heartbeat arrives. If the list marks this host as leaving, it
	 * starts leaving.
	 * @param listed the listed hosts; their incarnation and counter are ignored
	 * @param now monotonic time in milliseconds
	 */
	public void onHostList(Collection<Member> listed, long now) {
		Map<String, Member> byHost = new HashMap<>();
		listed.forEach((member) -> byHost.put(member.host(), member));
		this.peers.replaceAll((id, state) -> {
			Member entry = byHost.get(id);
			return state.withListed(entry != null, entry != null && entry.leaving() && isLive(state, now));
		});
		byHost.values().forEach((member) -> {
			if (!member.host().equals(this.host)) {
				this.peers.putIfAbsent(member.host(), new PeerState(member, Long.MIN_VALUE / 2, true, 0));
			}
		});
		Member own = byHost.get(this.host);
		this.leaving |= own != null && own.leaving();
	}

	/**
	 * Merges a heartbeat or the reply to one. Its sender counts as reachable again.
	 * @param heartbeat the heartbeat
	 * @param now monotonic time in milliseconds
	 */
	public void onHeartbeat(Heartbeat heartbeat, long now) {
		merge(heartbeat.self(), now);
		this.peers.computeIfPresent(heartbeat.self().host(), (id, state) -> state.withUnreachableUntil(now));
		heartbeat.members().forEach((member) -> merge(member, now));
	}

	private void merge(Member member, long now) {
		if (member.host().equals(this.host)) {
			return;
		}
		PeerState existing = this.peers.get(member.host());
		if (existing == null) {
			this.peers.put(member.host(), new PeerState(member, now, false, 0));
			return;
		}
		Member current = existing.member();
		boolean newer = member.incarnation() > current.incarnation()
				|| member.incarnation() == current.incarnation() && member.counter() > current.counter();
		if (newer) {
			this.peers.put(member.host(), existing.withNewer(member, now));
		}
		else if (member.incarnation() == current.incarnation() && member.leaving()) {
			this.peers.put(member.host(), existing.withListed(existing.listed(), true));
		}
	}

	/**
	 * Records that a connection to a host failed, so that the host counts as unreachable
	 * for a while.
	 * @param peer id of the host
	 * @param now monotonic time in milliseconds
	 */
	public void onUnreachable(String peer, long now) {
		this.peers.computeIfPresent(peer, (id, state) -> state.withUnreachableUntil(now + AVOID_UNREACHABLE_MILLIS));
	}

	/**
	 * Starts a round of heartbeats and removes unlisted hosts that have long been dead.
	 * @param now monotonic time in milliseconds
	 * @return ids of the hosts to send a heartbeat to
	 */
	public List<String> nextRound(long now) {
		this.heartbeatCounter++;
		this.peers.values()
			.removeIf(
					(state) -> !state.listed() && now - state.lastSeenMillis() > this.deadAfterMillis * REMOVAL_FACTOR);
		List<String> all = new ArrayList<>(this.peers.keySet());
		List<String> targets = new ArrayList<>();
		for (int i = 0; i < Math.min(this.fanout, all.size()); i++) {
			targets.add(all.get(this.targetCursor++ % all.size()));
		}
		return targets;
	}

	/**
	 * Returns the members to include in a heartbeat. Successive calls rotate through the
	 * live hosts.
	 * @param now monotonic time in milliseconds
	 * @return live members, without this host
	 */
	public List<Member> membersToGossip(long now) {
		List<Member> gossiped = new ArrayList<>();
		List<PeerState> live = this.peers.values().stream().filter((state) -> isLive(state, now)).toList();
		for (int i = 0; i < Math.min(GOSSIP_MEMBERS, live.size()); i++) {
			gossiped.add(live.get(this.gossipCursor++ % live.size()).member());
		}
		return gossiped;
	}

	private boolean isLive(PeerState state, long now) {
		return now - state.lastSeenMillis() <= this.deadAfterMillis;
	}

	/**
	 * Returns the current view.
	 * @param now monotonic time in milliseconds
	 * @return the view
	 */
	public MembershipView view(long now) {
		TreeMap<String, Member> live = new TreeMap<>();
		List<String> unreachable = new ArrayList<>();
		this.peers.forEach((id, state) -> {
			if (isLive(state, now)) {
				live.put(id, state.member());
			}
			if (state.unreachableUntilMillis() > now) {
				unreachable.add(id);
			}
		});
		live.put(this.host, self());
		List<Member> working = live.values().stream().filter((member) -> !member.leaving()).toList();
		return new MembershipView(self(), Map.copyOf(live), working, List.copyOf(unreachable));
	}

	/**
	 * Returns the internal address of a host.
	 * @param peer id of the host
	 * @return the address, or an empty string if the host is not known
	 */
	public String address(String peer) {
		PeerState state = this.peers.get(peer);
		return (state != null) ? state.member().address() : "";
	}

	/**
	 * Returns whether an assigned member may still run: it is live or listed by the
	 * platform, and no later incarnation of its host is known.
	 * @param member the assigned member
	 * @param now monotonic time in milliseconds
	 * @return true unless the member is known to have stopped
	 */
	public boolean mayStillRun(GuardMember member, long now) {
		if (member.host().equals(this.host)) {
			return member.incarnation() == this.incarnation;
		}
		PeerState state = this.peers.get(member.host());
		if (state == null || state.member().incarnation() > member.incarnation()) {
			return false;
		}
		return state.listed() || isLive(state, now);
	}

	/**
	 * Returns the reachability of the other hosts for the key guard.
	 * @param history retained assignments of the region, oldest first
	 * @param assignmentOffset log offset of the newest assignment; a host that has
	 * applied it knows the assignment
	 * @param unreachableAfterMillis silence in milliseconds after which a host counts as
	 * unreachable
	 * @param now monotonic time in milliseconds
	 * @return the reachability
	 */
	public Reachability reachability(List<GuardAssignment> history, long assignmentOffset, long unreachableAfterMillis,
			long now) {
		Map<String, Long> incarnations = new HashMap<>();
		this.peers.forEach((id, state) -> {
			if (now - state.lastSeenMillis() <= unreachableAfterMillis) {
				incarnations.put(id, state.member().incarnation());
			}
		});
		incarnations.put(this.host, this.incarnation);
		if (history.isEmpty()) {
			return new Reachability(Map.copyOf(incarnations), false, false);
		}
		GuardAssignment newest = history.get(history.size() - 1);
		boolean majority = majorityMeets(newest,
				(member) -> Long.valueOf(member.incarnation()).equals(incarnations.get(member.host()))
						&& appliedOffsetOf(member) <= this.appliedOffset);
		boolean superseded = history.subList(0, history.size() - 1)
			.stream()
			.allMatch((older) -> majorityMeets(older,
					(member) -> appliedOffsetOf(member) >= assignmentOffset || !mayStillRun(member, now)));
		return new Reachability(Map.copyOf(incarnations), majority, superseded);
	}

	private long appliedOffsetOf(GuardMember member) {
		if (member.host().equals(this.host) && member.incarnation() == this.incarnation) {
			return this.appliedOffset;
		}
		PeerState state = this.peers.get(member.host());
		boolean same = state != null && state.member().incarnation() == member.incarnation();
		return same ? state.member().offset() : -1;
	}

	private static boolean majorityMeets(GuardAssignment assignment, Predicate<GuardMember> condition) {
		return assignment.members().stream().filter(condition).count() * 2 > assignment.members().size();
	}

}
