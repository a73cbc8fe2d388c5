package carawayswitch.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock. Events at the same time run in the order in which they were added. Not
 * safe for use by several threads.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));

	private double now;

	private long sequence;

	long now() {
		return (long) this.now;
	}

	void after(double millis, Runnable action) {
		this.events.add(new Event(this.now + millis, this.sequence++, action));
	}

	void runUntil(double end) {
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
		}
		this.now = end;
	}

	private record Event(double at, long sequence, Runnable action) {

	}

}
