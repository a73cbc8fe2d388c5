package carawayswitch.membership;

import carawayswitch.message.Member;

/**
 * What is known of one other host. Immutable.
 *
 * @param member newest description
 * @param heardAt monotonic time in milliseconds at which the host was last heard of
 * @param listed true if the platform's list names the host
 * @param unreachableUntil monotonic time in milliseconds until which the host is avoided
 */
public record PeerState(Member member, long heardAt, boolean listed, long unreachableUntil) {

	PeerState heard(Member newer, long now) {
		Member merged = (newer.leaving() || !this.member.leaving() || newer.incarnation() > this.member.incarnation())
				? newer : withLeaving(newer);
		return new PeerState(merged, now, this.listed, this.unreachableUntil);
	}

	PeerState withListed(boolean value, boolean leaving) {
		Member changed = leaving ? withLeaving(this.member) : this.member;
		return new PeerState(changed, this.heardAt, value, this.unreachableUntil);
	}

	PeerState avoidedUntil(long until) {
		return new PeerState(this.member, this.heardAt, this.listed, until);
	}

	private static Member withLeaving(Member member) {
		return new Member(member.host(), member.incarnation(), member.counter(), member.zone(), member.region(),
				member.address(), true, member.offset());
	}

}
