package carawayswitch.guard;

import java.util.Map;

import carawayswitch.message.GuardMember;

/**
 * What the membership knows of other hosts. Immutable.
 *
 * @param reachableIncarnations incarnation by id of each host that was heard of lately
 * @param majorityReachable true if most of the assigned hosts were heard of lately and
 * none of them has folded more of the log
 * @param earlierAssignmentsSuperseded true if most hosts of each earlier assignment know
 * the newest one or are gone, so that no earlier holder can reach a majority any more
 */
public record Reachability(Map<String, Long> reachableIncarnations, boolean majorityReachable,
		boolean earlierAssignmentsSuperseded) {

	boolean isReachable(GuardMember member) {
		return Long.valueOf(member.incarnation()).equals(this.reachableIncarnations.get(member.host()));
	}

	boolean isReplaced(GuardMember member) {
		Long incarnation = this.reachableIncarnations.get(member.host());
		return incarnation != null && incarnation > member.incarnation();
	}

}
