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
final class FairGroup<Q extends FairGroup.Child> {

	private final Map<String, Q> children = new HashMap<>();

	/** Children without work that have received more than their share so far. */
	private final Map<String, Q> idle = new HashMap<>();

	private final TreeSet<Q> order = new TreeSet<>(byTag());

	private final TreeSet<Q> idleOrder = new TreeSet<>(byTag());

	private double virtualTime;

	Q childFor(String name, Function<String, Q> factory) {
		Q child = this.children.get(name);
		if (child == null) {
			child = revive(name, factory);
			this.children.put(name, child);
			this.order.add(child);
		}
		return child;
	}

	private Q revive(String name, Function<String, Q> factory) {
		Q child = this.idle.remove(name);
		if (child == null) {
			child = factory.apply(name);
			((Child) child).tag = this.virtualTime;
			return child;
		}
		this.idleOrder.remove(child);
		((Child) child).tag = Math.max(this.virtualTime, ((Child) child).tag);
		return child;
	}

	Q find(String name) {
		return this.children.get(name);
	}

	Q first() {
		return this.order.isEmpty() ? null : this.order.first();
	}

	Iterable<Q> inOrder() {
		return this.order;
	}

	void charge(Q child, double cost, int weight) {
		this.order.remove(child);
		this.virtualTime = Math.max(this.virtualTime, ((Child) child).tag);
		((Child) child).tag += cost / weight;
		this.order.add(child);
	}

	void refund(Q child, double cost, int weight) {
		if (this.children.get(child.name()) == child) {
			this.order.remove(child);
			((Child) child).tag = Math.max(this.virtualTime, ((Child) child).tag - cost / weight);
			this.order.add(child);
		}
	}

	/**
	 * Takes a child without work out of the order. Its share is remembered until the
	 * others have caught up or the group is empty.
	 * @param child the child
	 */
	void retire(Q child) {
		this.order.remove(child);
		this.children.remove(child.name());
		this.idle.put(child.name(), child);
		this.idleOrder.add(child);
		if (this.order.isEmpty()) {
			this.virtualTime = Math.max(this.virtualTime, this.idleOrder.last().tag());
		}
		while (!this.idleOrder.isEmpty() && this.idleOrder.first().tag() <= this.virtualTime) {
			this.idle.remove(this.idleOrder.pollFirst().name());
		}
	}

	private Comparator<Q> byTag() {
		return Comparator.<Q>comparingDouble(Child::tag).thenComparing(Child::name);
	}

	int size() {
		return this.children.size();
	}

	boolean isEmpty() {
		return this.children.isEmpty();
	}

	/**
	 * A queue inside a group. Not safe for use by several threads.
	 */
	abstract static class Child {

		private final String name;

		private double tag;

		Child(String name) {
			this.name = name;
		}

		String name() {
			return this.name;
		}

		double tag() {
			return this.tag;
		}

	}

}
