package carawayswitch.schedule;

import java.util.Set;

/**
 * A request that needs a place at one of a pool's engines. Immutable. Times are
 * milliseconds on the clock of the scheduler.
 *
 * @param work the work; its deadline is the time after which nobody waits for it
 * @param host id of the host that asks
 * @param zone availability zone of that host
 * @param objectiveAt time until which its first event is on time
 * @param excluded ids of engines that must not be chosen
 * @param clientDeadlineAt time after which the client does not come back
 * @param returnKey what a request that was refused has in common with its return, or
 * empty
 */
public record PoolRequest(Work work, String host, String zone, long objectiveAt, Set<String> excluded,
		long clientDeadlineAt, String returnKey) {

	String id() {
		return this.work.id();
	}

}
