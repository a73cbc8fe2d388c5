package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.config.Tier;

/**
 * Queue of a pool that also knows how much waits for each urgency and organisation, so
 * that a wait can be estimated without a look at each waiting request. Not safe for use
 * by several threads.
 */
final class WaitingQueue {

	private final FairQueue queue = new FairQueue();

	private final List<Amount> amounts = new ArrayList<>();

	private final List<Map<String, Amount>> byOrganisation = new ArrayList<>();

	WaitingQueue() {
		for (int urgency = 0; urgency < Tier.URGENCIES; urgency++) {
			this.amounts.add(new Amount());
			this.byOrganisation.add(new HashMap<>());
		}
	}

	void add(Work work) {
		this.queue.add(work);
		count(work, 1);
	}

	void addFirst(Work work) {
		this.queue.addFirst(work);
		count(work, 1);
	}

	Work peek(int urgency) {
		return this.queue.peek(urgency);
	}

	Work poll(int urgency) {
		Work work = this.queue.poll(urgency);
		if (work != null) {
			count(work, -1);
		}
		return work;
	}

	Work remove(String id) {
		Work work = this.queue.remove(id);
		if (work != null) {
			count(work, -1);
		}
		return work;
	}

	boolean contains(String id) {
		return this.queue.contains(id);
	}

	private void count(Work work, int sign) {
		this.amounts.get(work.urgency()).add(work, sign);
		Map<String, Amount> organisations = this.byOrganisation.get(work.urgency());
		Amount amount = organisations.computeIfAbsent(work.organisation(), (name) -> new Amount());
		amount.add(work, sign);
		if (amount.requests == 0) {
			organisations.remove(work.organisation());
		}
	}

	/**
	 * Returns what waits of an urgency.
	 * @param urgency the urgency
	 * @return the amount
	 */
	Amount amount(int urgency) {
		return this.amounts.get(urgency);
	}

	Amount amount(int urgency, String organisation) {
		return this.byOrganisation.get(urgency).getOrDefault(organisation, Amount.NONE);
	}

	Map<String, Amount> byOrganisation(int urgency) {
		return Collections.unmodifiableMap(this.byOrganisation.get(urgency));
	}

	/**
	 * An amount of waiting work. Confined to its queue.
	 */
	static final class Amount {

		private static final Amount NONE = new Amount();

		private int requests;

		private long promptTokens;

		private long outputTokens;

		private void add(Work work, int sign) {
			this.requests += sign;
			this.promptTokens += (long) sign * work.promptTokens();
			this.outputTokens += (long) sign * work.expectedTokens();
		}

		/**
		 * Returns the time for which the work would occupy one slot of an engine.
		 * @param speed speed of the engine
		 * @return time in milliseconds
		 */
		double occupation(EngineSpeed speed) {
			return speed.firstEventMillis(this.requests, this.promptTokens)
					+ speed.streamMillis(this.outputTokens, 1, 1);
		}

	}

}
