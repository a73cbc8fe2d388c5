package carawayswitch.measure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import carawayswitch.message.EndpointDigest;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.Work;

/**
 * Dispatcher of the baseline policies: an unbounded queue in order of arrival, or
 * strictly by urgency and then in order of arrival. It never sheds, rejects or preempts.
 * Not safe for use by several threads.
 */
final class BaselineDispatcher implements EngineDispatcher {

	private final String id;

	private final int maxRunning;

	private final PriorityQueue<Entry> queue;

	private final Map<String, Work> running = new HashMap<>();

	private long sequence;

	private boolean draining;

	BaselineDispatcher(String id, int maxRunning, boolean byUrgency) {
		this.id = id;
		this.maxRunning = maxRunning;
		Comparator<Entry> byArrival = Comparator.comparingLong(Entry::sequence);
		this.queue = new PriorityQueue<>(
				byUrgency ? Comparator.<Entry>comparingInt((entry) -> -entry.work().urgency()).thenComparing(byArrival)
						: byArrival);
	}

	@Override
	public OfferResult offer(Work work, long now) {
		this.queue.add(new Entry(this.sequence++, work));
		return new OfferResult(null, 0, List.of());
	}

	@Override
	public Work next(long now) {
		if (this.running.size() >= this.maxRunning || this.queue.isEmpty()) {
			return null;
		}
		Work work = this.queue.poll().work();
		this.running.put(work.id(), work);
		return work;
	}

	@Override
	public List<Work> takeShedWork(long now) {
		return List.of();
	}

	@Override
	public Work selectPreemptionVictim(long now) {
		return null;
	}

	@Override
	public void preempted(Work work, long now) {
	}

	@Override
	public void progressed(String workId, int tokens, long now) {
	}

	@Override
	public void finished(String workId, long now) {
		this.running.remove(workId);
	}

	@Override
	public boolean cancelQueued(String workId) {
		return this.queue.removeIf((entry) -> entry.work().id().equals(workId));
	}

	@Override
	public void startDraining() {
		this.draining = true;
	}

	@Override
	public List<Work> queued() {
		return this.queue.stream().map(Entry::work).toList();
	}

	@Override
	public void updateRemoteUrgencyFloor(String endpoint, int urgency, long now) {
		// The baselines do not distinguish protected work.
	}

	@Override
	public EndpointDigest digest(long now) {
		return new EndpointDigest(this.id, List.of(this.queue.size()), this.running.size(), -1, this.maxRunning,
				this.draining, 0, 0, 0);
	}

	private record Entry(long sequence, Work work) {

	}

}
