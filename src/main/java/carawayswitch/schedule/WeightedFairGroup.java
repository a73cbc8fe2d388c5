package carawayswitch.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Weighted start-time fair queueing over a group of flows. The next flow is the one that
 * has received the least service for its weight, which is the one with the lowest start
 * tag. Keeps state only for active flows and for idle flows that are ahead of the group's
 * virtual time. Each operation takes logarithmic time in the number of these flows. Not
 * thread-safe.
 *
 * @param <F> type of the flows
 */
final class WeightedFairGroup<F extends WeightedFairGroup.Flow> {

	private final Map<String, F> activeFlows = new HashMap<>();

	/** Flows without work whose start tag is ahead of the virtual time. */
	private final Map<String, F> idleFlows = new HashMap<>();

	private final TreeSet<F> activeByTag = new TreeSet<>(byTag());

	private final TreeSet<F> idleByTag = new TreeSet<>(byTag());

	private double virtualTime;

	/**
	 * Returns the active flow of a name, activating it if necessary. A new flow starts at
	 * the virtual time, so that it has no claim on service of the past.
	 * @param name name of the flow
	 * @param factory creates the flow
	 * @return the flow
	 */
	F activeFlow(String name, Function<String, F> factory) {
		F flow = this.activeFlows.get(name);
		if (flow == null) {
			flow = activate(name, factory);
			this.activeFlows.put(name, flow);
			this.activeByTag.add(flow);
		}
		return flow;
	}

	private F activate(String name, Function<String, F> factory) {
		F flow = this.idleFlows.remove(name);
		if (flow == null) {
			flow = factory.apply(name);
			((Flow) flow).startTag = this.virtualTime;
			return flow;
		}
		this.idleByTag.remove(flow);
		((Flow) flow).startTag = Math.max(this.virtualTime, ((Flow) flow).startTag);
		return flow;
	}

	F find(String name) {
		return this.activeFlows.get(name);
	}

	F first() {
		return this.activeByTag.isEmpty() ? null : this.activeByTag.first();
	}

	Iterable<F> byStartTag() {
		return this.activeByTag;
	}

	/**
	 * Advances the virtual time to the flow's start tag and charges the flow for service.
	 * @param flow the active flow
	 * @param cost cost of the service
	 * @param weight weight of the flow
	 */
	void charge(F flow, double cost, int weight) {
		this.activeByTag.remove(flow);
		this.virtualTime = Math.max(this.virtualTime, ((Flow) flow).startTag);
		((Flow) flow).startTag += cost / weight;
		this.activeByTag.add(flow);
	}

	/**
	 * Lowers the start tag of a flow that was charged too much, at most to the virtual
	 * time. Does nothing if the flow is no longer active.
	 * @param flow the flow
	 * @param cost cost to give back
	 * @param weight weight of the flow
	 */
	void refund(F flow, double cost, int weight) {
		if (this.activeFlows.get(flow.name()) == flow) {
			this.activeByTag.remove(flow);
			((Flow) flow).startTag = Math.max(this.virtualTime, ((Flow) flow).startTag - cost / weight);
			this.activeByTag.add(flow);
		}
	}

	/**
	 * Makes a flow without work idle. Its start tag is kept until the virtual time has
	 * caught up with it, so that a flow cannot gain service by becoming idle. When no
	 * active flow is left, the virtual time advances past all idle flows.
	 * @param flow the flow
	 */
	void deactivate(F flow) {
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

	private Comparator<F> byTag() {
		return Comparator.<F>comparingDouble(Flow::startTag).thenComparing(Flow::name);
	}

	int size() {
		return this.activeFlows.size();
	}

	boolean isEmpty() {
		return this.activeFlows.isEmpty();
	}

	/**
	 * Flow of a group, ordered by its start tag. Not thread-safe.
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
