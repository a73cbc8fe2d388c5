package carawayswitch.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and queue of events of a discrete-event simulation. Events due at the
 * same time run in the order in which they were scheduled. Not safe for use by several
 * threads.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::dueMillis).thenComparingLong(Event::sequence));

	private double now;

	private long sequence;

	/**
	 * Returns the virtual time.
	 * @return milliseconds since the start of the simulation, rounded down
	 */
	long now() {
		return (long) this.now;
	}

	/**
	 * Schedules an event.
	 * @param delayMillis delay from the current virtual time in milliseconds
	 * @param action runs when the event is due
	 */
	void schedule(double delayMillis, Runnable action) {
		this.events.add(new Event(this.now + delayMillis, this.sequence++, action));
	}

	/**
	 * Runs all events that are due up to a time, then sets the clock to it.
	 * @param endMillis virtual time in milliseconds, inclusive
	 */
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
