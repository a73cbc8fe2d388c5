package carawayswitch.measure;

import java.util.List;

import carawayswitch.message.EndpointDigest;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.Work;

/**
 * What stands before an engine: decides what is dispatched and when. Not safe for use by
 * several threads.
 */
interface EngineFront {

	OfferResult offer(Work work, long now);

	Work next(long now);

	List<Work> takeExpired(long now);

	Work victim(long now);

	void preempted(Work work, long now);

	void progressed(String id, int tokens, long now);

	void finished(String id, long now);

	boolean cancelQueued(String id);

	void leaving();

	List<Work> queued();

	EndpointDigest digest(long now);

	void yieldBelow(String endpoint, int urgency, long now);

}
