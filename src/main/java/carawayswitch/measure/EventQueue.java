package carawayswitch.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock. Events at the same time run in the order in which they were added. Not
 * safe for use by several threads.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::dueMillis).thenComparingLong(Event::sequence));

	private double now;

	private long sequence;

	long now() {
		return (long) this.now;
	}

	void schedule(double delayMillis, Runnable action) {
		this.events.add(new Event(this.now + delayMillis, this.sequence++, action));
	}

	void runUntil(double endMillis) {
		while (!this.events.isEmpty() && this.events.peek().dueMillis() <= endMillis) {
			Event event = this.events.poll();
			this.now = event.dueMillis();
			event.action().run();
		}
		this.now = endMillis;
	}

	private record Event(double dueMillis, long sequence, Runnable action) {

	}

}
