package carawayswitch.guard;

import java.util.Map;

import carawayswitch.message.GuardMember;

/**
 * Snapshot of which hosts are reachable and which log records they have applied, taken
 * from the membership. Immutable.
 *
 * @param reachableIncarnations incarnation by host id, for each host whose heartbeat
 * arrived recently
 * @param majorityReachable true if a majority of the hosts of the newest assignment is
 * reachable and has not applied more of the log than this host
 * @param earlierAssignmentsSuperseded true if, for each earlier assignment, a majority of
 * its hosts has applied the newest one or no longer runs, so that no earlier holder can
 * reach a majority any more
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
