package carawayswitch.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Start-time fair queueing over child queues. Keeps state for active children only. The
 * next child is the one that has received least for its weight. Each operation takes
 * logarithmic time in the number of active children. Not safe for use by several threads.
 *
 * @param <Q> type of the child queues
 */
final class WeightedFairGroup<Q extends WeightedFairGroup.Flow> {

	private final Map<String, Q> activeFlows = new HashMap<>();

	/** Children without work that have received more than their share so far. */
	private final Map<String, Q> idleFlows = new HashMap<>();

	private final TreeSet<Q> activeByTag = new TreeSet<>(byTag());

	private final TreeSet<Q> idleByTag = new TreeSet<>(byTag());

	private double virtualTime;

	Q activeFlow(String name, Function<String, Q> factory) {
		Q flow = this.activeFlows.get(name);
		if (flow == null) {
			flow = activate(name, factory);
			this.activeFlows.put(name, flow);
			this.activeByTag.add(flow);
		}
		return flow;
	}

	private Q activate(String name, Function<String, Q> factory) {
		Q flow = this.idleFlows.remove(name);
		if (flow == null) {
			flow = factory.apply(name);
			((Flow) flow).startTag = this.virtualTime;
			return flow;
		}
		this.idleByTag.remove(flow);
		((Flow) flow).startTag = Math.max(this.virtualTime, ((Flow) flow).startTag);
		return flow;
	}

	Q find(String name) {
		return this.activeFlows.get(name);
	}

	Q first() {
		return this.activeByTag.isEmpty() ? null : this.activeByTag.first();
	}

	Iterable<Q> byStartTag() {
		return this.activeByTag;
	}

	void charge(Q flow, double cost, int weight) {
		this.activeByTag.remove(flow);
		this.virtualTime = Math.max(this.virtualTime, ((Flow) flow).startTag);
		((Flow) flow).startTag += cost / weight;
		this.activeByTag.add(flow);
	}

	void refund(Q flow, double cost, int weight) {
		if (this.activeFlows.get(flow.name()) == flow) {
			this.activeByTag.remove(flow);
			((Flow) flow).startTag = Math.max(this.virtualTime, ((Flow) flow).startTag - cost / weight);
			this.activeByTag.add(flow);
		}
	}

	/**
	 * Takes a child without work out of the order. Its share is remembered until the
	 * others have caught up or the group is empty.
	 * @param flow the child
	 */
	void deactivate(Q flow) {
		this.activeByTag.remove(flow);
		this.activeFlows.remove(flow.name());
		this.idleFlows.put(flow.name(), flow);
		this.idleByTag.add(flow);
		if (this.activeByTag.isEmpty()) {
			this.virtualTime = Math.max(this.virtualTime, this.idleByTag.last().startTag());
		}
		while (!this.idleByTag.isEmpty() && this.idleByTag.first().startTag() <= this.virtualTime) {
			this.idleFlows.remove(this.idleByTag.pollFirst().name());
		}
	}

	private Comparator<Q> byTag() {
		return Comparator.<Q>comparingDouble(Flow::startTag).thenComparing(Flow::name);
	}

	int size() {
		return this.activeFlows.size();
	}

	boolean isEmpty() {
		return this.activeFlows.isEmpty();
	}

	/**
	 * A queue inside a group. Not safe for use by several threads.
	 */
	abstract static class Flow {

		private final String name;

		private double startTag;

		Flow(String name) {
			this.name = name;
		}

		String name() {
			return this.name;
		}

		double startTag() {
			return this.startTag;
		}

	}

}
