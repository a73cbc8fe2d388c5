package carawayswitch.membership;

import java.util.List;
import java.util.function.Predicate;

import io.vavr.control.Option;

import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.Member;

/**
 * Proposes the next assignment of a region's slots when its hosts have changed. Only the
 * working host with the lowest id proposes; a proposal that loses a race is ignored by
 * the fold. Not safe for use by several threads.
 */
public final class AssignmentPlanner {

	private final long stableMillis;

	private final long minIntervalMillis;

	private List<GuardMember> targetMembers = List.of();

	private long targetSinceMillis;

	private long lastSeenEpoch;

	private long lastSeenAtMillis;

	/**
	 * Creates a planner.
	 * @param stableMillis time in milliseconds for which the hosts must stay the same
	 * @param minIntervalMillis least time in milliseconds between two assignments
	 */
	public AssignmentPlanner(long stableMillis, long minIntervalMillis) {
		this.stableMillis = stableMillis;
		this.minIntervalMillis = minIntervalMillis;
	}

	/**
	 * Proposes an assignment if one is due.
	 * @param view the present view
	 * @param current the assignment in force, or null
	 * @param mayStillRun tells whether a member of the assignment in force may still run
	 * @param now monotonic time in milliseconds
	 * @return the proposal, or nothing
	 */
	public Option<GuardAssignment> propose(MembershipView view, GuardAssignment current,
			Predicate<GuardMember> mayStillRun, long now) {
		String region = view.self().region();
		List<Member> hosts = view.working().stream().filter((member) -> member.region().equals(region)).toList();
		List<GuardMember> members = hosts.stream()
			.map((member) -> new GuardMember(member.host(), member.incarnation(), member.zone()))
			.toList();
		if (!members.equals(this.targetMembers)) {
			this.targetMembers = members;
			this.targetSinceMillis = now;
		}
		if (current != null && current.epoch() != this.lastSeenEpoch) {
			this.lastSeenEpoch = current.epoch();
			this.lastSeenAtMillis = now;
		}
		boolean proposer = !hosts.isEmpty() && hosts.get(0).host().equals(view.self().host());
		boolean changed = current == null || !current.members().equals(members);
		if (!proposer || !changed || now - this.targetSinceMillis < this.stableMillis
				|| this.lastSeenEpoch > 0 && now - this.lastSeenAtMillis < this.minIntervalMillis) {
			return Option.none();
		}
		if (current != null && !majorityLive(view, current, mayStillRun)) {
			return Option.none();
		}
		this.targetSinceMillis = now;
		long epoch = (current != null) ? current.epoch() + 1 : 1;
		return Option.of(new GuardAssignment(region, epoch, members));
	}

	private static boolean isLive(MembershipView view, GuardMember member) {
		Member live = view.live().get(member.host());
		return live != null && live.incarnation() == member.incarnation();
	}

	private static boolean majorityLive(MembershipView view, GuardAssignment current,
			Predicate<GuardMember> mayStillRun) {
		List<GuardMember> remaining = current.members().stream().filter(mayStillRun).toList();
		long live = remaining.stream().filter((member) -> isLive(view, member)).count();
		return live * 2 > remaining.size() || remaining.isEmpty();
	}

}
