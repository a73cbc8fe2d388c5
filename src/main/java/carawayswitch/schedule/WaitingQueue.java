package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of a pool that maintains its backlog by urgency and by organisation, so that a
 * wait can be estimated without a scan of all pending requests. Not thread-safe.
 */
final class WaitingQueue {

	private final HierarchicalFairQueue queue = new HierarchicalFairQueue(PoolPriority.LEVEL_COUNT);

	private final List<Backlog> backlogByUrgency = new ArrayList<>();

	private final List<Map<String, Backlog>> backlogByOrganisation = new ArrayList<>();

	WaitingQueue() {
		for (int level = 0; level < PoolPriority.LEVEL_COUNT; level++) {
			this.backlogByUrgency.add(new Backlog());
			this.backlogByOrganisation.add(new HashMap<>());
		}
	}

	void add(Work work) {
		this.queue.add(work);
		updateBacklog(work, 1);
	}

	void addFirst(Work work) {
		this.queue.addFirst(work);
		updateBacklog(work, 1);
	}

	Work peek(int level) {
		return this.queue.peek(level);
	}

	Work poll(int level) {
		Work work = this.queue.poll(level);
		if (work != null) {
			updateBacklog(work, -1);
		}
		return work;
	}

	Work remove(String id) {
		Work work = this.queue.remove(id);
		if (work != null) {
			updateBacklog(work, -1);
		}
		return work;
	}

	boolean contains(String id) {
		return this.queue.contains(id);
	}

	private void updateBacklog(Work work, int sign) {
		this.backlogByUrgency.get(work.urgency()).add(work, sign);
		Map<String, Backlog> backlogs = this.backlogByOrganisation.get(work.urgency());
		Backlog backlog = backlogs.computeIfAbsent(work.organisation(), (name) -> new Backlog());
		backlog.add(work, sign);
		if (backlog.requests == 0) {
			backlogs.remove(work.organisation());
		}
	}

	/**
	 * Returns the backlog of an urgency; it changes with the queue.
	 * @param level level of the {@link PoolPriority}
	 * @return the backlog
	 */
	Backlog backlog(int level) {
		return this.backlogByUrgency.get(level);
	}

	Backlog backlog(int level, String organisation) {
		return this.backlogByOrganisation.get(level).getOrDefault(organisation, Backlog.EMPTY);
	}

	Map<String, Backlog> backlogByOrganisation(int level) {
		return Collections.unmodifiableMap(this.backlogByOrganisation.get(level));
	}

	/**
	 * Totals of queued work. Changed only by its queue; not thread-safe.
	 */
	static final class Backlog {

		private static final Backlog EMPTY = new Backlog();

		private int requests;

		private long promptTokens;

		private long outputTokens;

		private void add(Work work, int sign) {
			this.requests += sign;
			this.promptTokens += (long) sign * work.promptTokens();
			this.outputTokens += (long) sign * work.expectedTokens();
		}

		/**
		 * Returns the time for which the backlog would occupy one slot of an engine.
		 * @param speed speed of the engine
		 * @return the time in milliseconds
		 */
		double slotMillis(EngineSpeedEstimator speed) {
			return speed.firstEventMillis(this.requests, this.promptTokens)
					+ speed.streamMillis(this.outputTokens, 1, 1);
		}

		/**
		 * Returns the mean time for which a request of the backlog would occupy a slot.
		 * @param speed speed of the engine
		 * @return the time in milliseconds, 0 if the backlog is empty
		 */
		double meanSlotMillis(EngineSpeedEstimator speed) {
			return slotMillis(speed) / Math.max(1, this.requests);
		}

	}

}
