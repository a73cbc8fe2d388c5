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
 * Queue of a baseline: unbounded, in order of arrival or strictly by urgency. Not safe
 * for use by several threads.
 */
final class BaselineFront implements EngineFront {

	private final String id;

	private final int limit;

	private final PriorityQueue<Entry> queue;

	private final Map<String, Work> running = new HashMap<>();

	private long sequence;

	private boolean leaving;

	BaselineFront(String id, int limit, boolean byUrgency) {
		this.id = id;
		this.limit = limit;
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
		if (this.running.size() >= this.limit || this.queue.isEmpty()) {
			return null;
		}
		Work work = this.queue.poll().work();
		this.running.put(work.id(), work);
		return work;
	}

	@Override
	public List<Work> takeExpired(long now) {
		return List.of();
	}

	@Override
	public Work victim(long now) {
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
	public void leaving() {
		this.leaving = true;
	}

	@Override
	public List<Work> queued() {
		return this.queue.stream().map(Entry::work).toList();
	}

	@Override
	public void yieldBelow(String endpoint, int urgency, long now) {
		// The baselines know no protected work.
	}

	@Override
	public EndpointDigest digest(long now) {
		return new EndpointDigest(this.id, List.of(this.queue.size()), this.running.size(), -1, this.limit,
				this.leaving, 0, 0, 0);
	}

	private record Entry(long sequence, Work work) {

	}

}
