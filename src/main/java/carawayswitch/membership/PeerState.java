package carawayswitch.membership;

import carawayswitch.message.Member;

/**
 * State of one peer as this host knows it. Immutable.
 *
 * @param member newest description of the peer
 * @param lastSeenMillis monotonic time in milliseconds at which the last newer heartbeat
 * of the peer arrived, directly or by gossip
 * @param listed true if the platform's host list contains the peer
 * @param unreachableUntilMillis monotonic time in milliseconds until which the peer
 * counts as unreachable
 */
public record PeerState(Member member, long lastSeenMillis, boolean listed, long unreachableUntilMillis) {

	PeerState withNewer(Member newer, long now) {
		Member merged = (newer.leaving() || !this.member.leaving() || newer.incarnation() > this.member.incarnation())
				? newer : withLeaving(newer);
		return new PeerState(merged, now, this.listed, this.unreachableUntilMillis);
	}

	PeerState withListed(boolean listed, boolean leaving) {
		Member changed = leaving ? withLeaving(this.member) : this.member;
		return new PeerState(changed, this.lastSeenMillis, listed, this.unreachableUntilMillis);
	}

	PeerState withUnreachableUntil(long until) {
		return new PeerState(this.member, this.lastSeenMillis, this.listed, until);
	}

	private static Member withLeaving(Member member) {
		return new Member(member.host(), member.incarnation(), member.counter(), member.zone(), member.region(),
				member.address(), true, member.offset());
	}

}
