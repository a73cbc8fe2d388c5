package carawayswitch.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Log of decisions with a bound on its volume. Never blocks the caller: lines beyond the
 * rate, and lines that the output does not take in time, are counted and left out. Each
 * line has the time of its event in {@code at_ms}, milliseconds since the epoch. Safe for
 * use by several threads.
 *
 * <pre>
 * log.write(LogEvent.ATTEMPT_SENT, "request", id, "endpoint", endpoint);
 * </pre>
 */
public final class DecisionLog {

	/** Lines that wait for the output. */
	private static final int MAX_WAITING = 4096;

	/** Pause between two rounds of writing in milliseconds; fewer wake-ups cost less. */
	private static final long WRITE_INTERVAL_MILLIS = 200;

	private static final long SECOND_MILLIS = 1000;

	private final BlockingQueue<Line> waiting = new ArrayBlockingQueue<>(MAX_WAITING);

	private final AtomicLong omitted = new AtomicLong();

	private final AtomicLong second = new AtomicLong(-1);

	private final AtomicLong writtenInSecond = new AtomicLong();

	private final long linesPerSecond;

	private final LongSupplier steadyMillis;

	private final Thread writer;

	private volatile boolean closed;

	/**
	 * Starts a log.
	 * @param linesPerSecond most lines per second
	 * @param steadyMillis the steady clock in milliseconds
	 */
	public DecisionLog(long linesPerSecond, LongSupplier steadyMillis) {
		this.linesPerSecond = linesPerSecond;
		this.steadyMillis = steadyMillis;
		this.writer = new Thread(this::writeAll, "decision-log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Writes a line, or counts it as left out.
	 * @param event the event
	 * @param keyValues keys and values in turn
	 */
	public void write(LogEvent event, Object... keyValues) {
		long now = this.steadyMillis.getAsLong() / SECOND_MILLIS;
		if (this.second.getAndSet(now) != now) {
			this.writtenInSecond.set(0);
		}
		boolean within = this.writtenInSecond.incrementAndGet() <= this.linesPerSecond;
		if (!within || !this.waiting.offer(new Line(System.currentTimeMillis(), event, keyValues))) {
			this.omitted.incrementAndGet();
		}
	}

	private void writeAll() {
		while (!this.closed) {
			try {
				Thread.sleep(WRITE_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
			flush();
		}
		flush();
	}

	private synchronized void flush() {
		List<Line> lines = new ArrayList<>();
		this.waiting.drainTo(lines);
		lines.forEach(Line::write);
		long count = this.omitted.getAndSet(0);
		if (count > 0) {
			LogEvent.LOG_OMITTED.log("lines", count, "limit_per_s", this.linesPerSecond);
		}
	}

	/**
	 * Writes what waits and stops.
	 */
	public void close() {
		this.closed = true;
		flush();
	}

	/**
	 * A line with the time of its event, which is earlier than the time of its writing.
	 * Immutable.
	 */
	private record Line(long atMillis, LogEvent event, Object[] keyValues) {

		void write() {
			Object[] all = new Object[this.keyValues.length + 2];
			all[0] = "at_ms";
			all[1] = this.atMillis;
			System.arraycopy(this.keyValues, 0, all, 2, this.keyValues.length);
			this.event.log(all);
		}

	}

}
