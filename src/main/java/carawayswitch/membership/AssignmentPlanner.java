package carawayswitch.membership;

import java.util.List;
import java.util.function.Predicate;

import io.vavr.control.Option;

import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.Member;

/**
 * Proposes the next assignment of a region's slots after its hosts have changed. Only the
 * working host with the lowest id proposes. If two hosts race, the log orders their
 * proposals and the later one is ignored when it is applied. Not thread-safe.
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
	 * @param stableMillis time in milliseconds for which the set of hosts must stay
	 * unchanged
	 * @param minIntervalMillis minimum interval in milliseconds between two assignments
	 */
	public AssignmentPlanner(long stableMillis, long minIntervalMillis) {
		this.stableMillis = stableMillis;
		this.minIntervalMillis = minIntervalMillis;
	}

	/**
	 * Proposes an assignment if one is due: the hosts differ from the current assignment,
	 * the set of hosts is stable, the minimum interval has passed, and a majority of the
	 * current members that may still run is live, or none of them may still run.
	 * @param view the current view
	 * @param current the current assignment, or null
	 * @param mayStillRun whether a member of the current assignment may still run
	 * @param now monotonic time in milliseconds
	 * @return the proposal, or none if no assignment is due
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
