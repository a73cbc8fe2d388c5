package carawayswitch.guard;

import java.util.Map;

import carawayswitch.message.GuardMember;

/**
 * What the membership knows of other hosts. Immutable.
 *
 * @param incarnations incarnation by id of each host that was heard of lately
 * @param majority true if most of the assigned hosts were heard of lately and none of
 * them has folded more of the log
 * @param superseded true if most hosts of each earlier assignment know the newest one or
 * are gone, so that no earlier holder can reach a majority any more
 */
public record Reachability(Map<String, Long> incarnations, boolean majority, boolean superseded) {

	boolean alive(GuardMember member) {
		return Long.valueOf(member.incarnation()).equals(this.incarnations.get(member.host()));
	}

	boolean replaced(GuardMember member) {
		Long incarnation = this.incarnations.get(member.host());
		return incarnation != null && incarnation > member.incarnation();
	}

}
