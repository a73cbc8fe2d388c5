package carawayswitch.measure;

import java.util.List;

import carawayswitch.message.EndpointDigest;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.Work;

/**
 * Queues the work of one engine and decides what is dispatched to it and when. The
 * parameter {@code now} is the virtual time in milliseconds. Not safe for use by several
 * threads.
 */
interface EngineDispatcher {

	/**
	 * Queues or rejects work.
	 * @param work the new work
	 * @param now current time in milliseconds
	 * @return whether the work was queued, and the work that was shed in favour of it
	 */
	OfferResult offer(Work work, long now);

	/**
	 * Removes the next work to dispatch from the queue.
	 * @param now current time in milliseconds
	 * @return the work, or null if no work may be dispatched now
	 */
	Work next(long now);

	/**
	 * Removes and returns the work to be shed.
	 * @param now current time in milliseconds
	 * @return the removed work
	 */
	List<Work> takeShedWork(long now);

	/**
	 * Selects running work to preempt.
	 * @param now current time in milliseconds
	 * @return the work to stop, or null
	 */
	Work selectPreemptionVictim(long now);

	/**
	 * Queues preempted work again.
	 * @param work the preempted work
	 * @param now current time in milliseconds
	 */
	void preempted(Work work, long now);

	/**
	 * Records the progress of an answer.
	 * @param workId id of the running work
	 * @param tokens total number of tokens generated so far
	 * @param now current time in milliseconds
	 */
	void progressed(String workId, int tokens, long now);

	/**
	 * Records the end of an attempt, whatever its result.
	 * @param workId id of the work
	 * @param now current time in milliseconds
	 */
	void finished(String workId, long now);

	/**
	 * Removes work that has not been dispatched.
	 * @param workId id of the work
	 * @return true if the work was queued
	 */
	boolean cancelQueued(String workId);

	/**
	 * Starts draining, which digests report.
	 */
	void startDraining();

	/**
	 * Returns the work that has not been dispatched.
	 * @return the queued work
	 */
	List<Work> queued();

	/**
	 * Returns the load of the engine as its owner sees it.
	 * @param now current time in milliseconds
	 * @return the digest
	 */
	EndpointDigest digest(long now);

	/**
	 * Records the urgency floor of an endpoint: the urgency below which work yields while
	 * protected work is at risk there.
	 * @param endpoint id of the endpoint
	 * @param urgency the floor, or 0 if no work is at risk
	 * @param now current time in milliseconds
	 */
	void updateRemoteUrgencyFloor(String endpoint, int urgency, long now);

}
