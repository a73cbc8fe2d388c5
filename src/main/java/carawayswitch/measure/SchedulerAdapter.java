package carawayswitch.measure;

import java.util.List;

import carawayswitch.config.Endpoint;
import carawayswitch.message.EndpointDigest;
import carawayswitch.schedule.EndpointScheduler;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.Work;

/**
 * Dispatcher that delegates to the {@link EndpointScheduler} of the daemon. Not safe for
 * use by several threads.
 */
final class SchedulerAdapter implements EngineDispatcher {

	private static final EndpointScheduler.QueueLimits QUEUE_LIMITS = new EndpointScheduler.QueueLimits(
			8L * 1024 * 1024, 30_000);

	private final EndpointScheduler scheduler;

	SchedulerAdapter(String id, EngineModel model) {
		Endpoint endpoint = new Endpoint(List.of("measured/model"), "http://127.0.0.1:1", "zone", "region",
				model.maxRunning(), model.kvTokens(), false, false);
		this.scheduler = new EndpointScheduler(id, endpoint, true, QUEUE_LIMITS);
	}

	@Override
	public OfferResult offer(Work work, long now) {
		return this.scheduler.offer(work, now);
	}

	@Override
	public Work next(long now) {
		return this.scheduler.next(now);
	}

	@Override
	public List<Work> takeShedWork(long now) {
		return this.scheduler.takeShedWork(now);
	}

	@Override
	public Work selectPreemptionVictim(long now) {
		return this.scheduler.selectPreemptionVictim(now);
	}

	@Override
	public void preempted(Work work, long now) {
		this.scheduler.preempted(work.id(), work, now);
	}

	@Override
	public void progressed(String workId, int tokens, long now) {
		this.scheduler.progressed(workId, tokens, now);
	}

	@Override
	public void finished(String workId, long now) {
		this.scheduler.finished(workId, now);
	}

	@Override
	public boolean cancelQueued(String workId) {
		return this.scheduler.cancelQueued(workId);
	}

	@Override
	public void startDraining() {
		this.scheduler.draining(true);
	}

	@Override
	public List<Work> queued() {
		return this.scheduler.queued();
	}

	@Override
	public void updateRemoteUrgencyFloor(String endpoint, int urgency, long now) {
		this.scheduler.updateRemoteUrgencyFloor(endpoint, urgency, now);
	}

	@Override
	public EndpointDigest digest(long now) {
		return this.scheduler.digest(now);
	}

}
