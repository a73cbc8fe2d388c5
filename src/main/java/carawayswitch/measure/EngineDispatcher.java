package carawayswitch.measure;

import java.util.List;

import carawayswitch.message.EndpointDigest;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.Work;

/**
 * What stands before an engine: decides what is dispatched and when. Not safe for use by
 * several threads.
 */
interface EngineDispatcher {

	OfferResult offer(Work work, long now);

	Work next(long now);

	List<Work> takeShedWork(long now);

	Work selectPreemptionVictim(long now);

	void preempted(Work work, long now);

	void progressed(String id, int tokens, long now);

	void finished(String id, long now);

	boolean cancelQueued(String id);

	void startDraining();

	List<Work> queued();

	EndpointDigest digest(long now);

	void updateRemoteUrgencyFloor(String endpoint, int urgency, long now);

}
