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
 * Follows which hosts are live or leaving. A host is live while it was heard of within
 * the dead time, directly or through a peer that passed on a higher heartbeat counter. A
 * host is leaving as soon as any source says so, until it comes back with a higher
 * incarnation. Each round sends heartbeats to a bounded number of hosts and passes on a
 * bounded number of members. Times are monotonic milliseconds. Not safe for use by
 * several threads; the {@link MembershipView} that it returns is.
 */
public final class Membership {

	/** Number of members that a heartbeat passes on. */
	static final int GOSSIP_MEMBERS = 4;

	private static final long AVOID_UNREACHABLE_MILLIS = 2000;

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
	 * Creates a membership that knows only this host.
	 * @param self this host
	 * @param fanout number of hosts that receive a heartbeat in a round
	 * @param deadAfterMillis silence in milliseconds after which a host is taken as dead
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
	 * Returns the description of this host.
	 * @return this host
	 */
	public Member self() {
		return new Member(this.host, this.incarnation, this.heartbeatCounter, this.zone, this.region, this.address,
				this.leaving, this.appliedOffset);
	}

	/**
	 * Records how much of the log this host has folded.
	 * @param offset offset of the last folded record
	 */
	public void onLogApplied(long offset) {
		this.appliedOffset = offset;
	}

	/**
	 * Sets the internal address after it was bound.
	 * @param address the address
	 */
	public void onAddressBound(String address) {
		this.address = address;
	}

	/**
	 * Marks this host as leaving, for good.
	 */
	public void startLeaving() {
		this.leaving = true;
	}

	/**
	 * Takes in the platform's list. Hosts that were never heard of become known.
	 * @param listed the listed hosts; incarnation and counter are not used
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
	 * Takes in a heartbeat or the answer to one.
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
		PeerState known = this.peers.get(member.host());
		if (known == null) {
			this.peers.put(member.host(), new PeerState(member, now, false, 0));
			return;
		}
		Member current = known.member();
		boolean newer = member.incarnation() > current.incarnation()
				|| member.incarnation() == current.incarnation() && member.counter() > current.counter();
		if (newer) {
			this.peers.put(member.host(), known.withNewer(member, now));
		}
		else if (member.incarnation() == current.incarnation() && member.leaving()) {
			this.peers.put(member.host(), known.withListed(known.listed(), true));
		}
	}

	/**
	 * Records that a host could not be reached directly.
	 * @param peer id of the host
	 * @param now monotonic time in milliseconds
	 */
	public void onUnreachable(String peer, long now) {
		this.peers.computeIfPresent(peer, (id, state) -> state.withUnreachableUntil(now + AVOID_UNREACHABLE_MILLIS));
	}

	/**
	 * Starts a round of heartbeats.
	 * @param now monotonic time in milliseconds
	 * @return ids of the hosts to send to
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
	 * Returns members to pass on in a heartbeat: each call continues where the last
	 * ended.
	 * @param now monotonic time in milliseconds
	 * @return live members
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
	 * Returns the present view.
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
	 * @return the address, or empty if the host is not known
	 */
	public String address(String peer) {
		PeerState state = this.peers.get(peer);
		return (state != null) ? state.member().address() : "";
	}

	/**
	 * Tells whether an assigned member may still run: it is live, or the platform lists
	 * it and no later incarnation was heard of.
	 * @param member the assigned member
	 * @param now monotonic time in milliseconds
	 * @return true unless the member is known to be gone
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
	 * Returns what the key guard needs to know.
	 * @param history kept assignments of the region, oldest first
	 * @param assignmentOffset offset from which on a host knows the newest assignment
	 * @param unreachableAfterMillis silence in milliseconds after which a host counts as
	 * unreachable
	 * @param now monotonic time in milliseconds
	 * @return what is known of other hosts
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
