package carawayswitch.schedule;

import java.util.Collection;
import java.util.Set;

/**
 * Place request: a request that needs the right to run at one engine of a pool.
 * Immutable. Times are milliseconds on the clock of the scheduler.
 *
 * @param work the work; its deadline is the end of its wait limit, after which it expires
 * @param host id of the requesting host
 * @param zone availability zone of that host
 * @param objectiveAt latest time at which its first event meets the objective
 * @param excluded ids of engines that are chosen only if no other engine is usable
 * @param clientDeadlineAt time after which the client does not retry
 * @param returnKey key that a rejected request and its retry by the client share, or
 * empty if retries are not recognised
 * @param resumed true if the client has already received a part of the answer, so that it
 * is not advised to come back later
 * @param maxGapMillis longest pause between two events of an answer that is on time, or 0
 * if there is no limit
 * @param versions software versions of the engines that may run it, unlike excluded
 * engines without exception
 * @param sharedSegments ids of the segments of the prompt that other requests may share
 */
public record PoolRequest(Work work, String host, String zone, long objectiveAt, Set<String> excluded,
		long clientDeadlineAt, String returnKey, boolean resumed, long maxGapMillis, EligibleVersions versions,
		Collection<String> sharedSegments) {

	/**
	 * Returns the id of the request.
	 * @return the id
	 */
	public String id() {
		return this.work.id();
	}

}
