package carawayswitch.membership;

import carawayswitch.message.Member;

/**
 * What is known of one other host. Immutable.
 *
 * @param member newest description
 * @param lastSeenMillis monotonic time in milliseconds at which the host was last heard
 * of
 * @param listed true if the platform's list names the host
 * @param unreachableUntilMillis monotonic time in milliseconds until which the host is
 * avoided
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
