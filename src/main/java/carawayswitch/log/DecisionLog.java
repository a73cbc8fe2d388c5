package carawayswitch.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Asynchronous, rate-limited log of decisions. Never blocks the caller: lines beyond the
 * rate limit, and lines that find the queue to the output full, are dropped and counted.
 * Each line carries the time of its event as {@code at_ms}, in milliseconds since the
 * epoch. Safe for use by several threads.
 *
 * <pre>
 * log.write(LogEvent.ATTEMPT_SENT, "request", id, "endpoint", endpoint);
 * </pre>
 */
public final class DecisionLog {

	/** Most lines that wait to be written. */
	private static final int MAX_QUEUED_LINES = 4096;

	/**
	 * Pause between two batches of lines; few wake-ups of the writer keep its cost low.
	 */
	private static final long WRITE_INTERVAL_MILLIS = 200;

	private static final long MILLIS_PER_SECOND = 1000;

	private final BlockingQueue<QueuedLine> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong omittedLines = new AtomicLong();

	private final AtomicLong currentSecond = new AtomicLong(-1);

	private final AtomicLong linesInSecond = new AtomicLong();

	private final long maxLinesPerSecond;

	private final LongSupplier monotonicMillis;

	private final Thread writer;

	private volatile boolean closed;

	/**
	 * Creates a log and starts its writer thread.
	 * @param maxLinesPerSecond most lines accepted per second
	 * @param monotonicMillis supplies the time of the monotonic clock in milliseconds
	 */
	public DecisionLog(long maxLinesPerSecond, LongSupplier monotonicMillis) {
		this.maxLinesPerSecond = maxLinesPerSecond;
		this.monotonicMillis = monotonicMillis;
		this.writer = new Thread(this::runWriter, "decision-log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Enqueues a line, or drops and counts it if the rate limit is reached or the queue
	 * is full.
	 * @param event the event
	 * @param keyValues alternating keys and values
	 */
	public void write(LogEvent event, Object... keyValues) {
		long nowSeconds = this.monotonicMillis.getAsLong() / MILLIS_PER_SECOND;
		if (this.currentSecond.getAndSet(nowSeconds) != nowSeconds) {
			this.linesInSecond.set(0);
		}
		boolean withinLimit = this.linesInSecond.incrementAndGet() <= this.maxLinesPerSecond;
		if (!withinLimit || !this.queue.offer(new QueuedLine(System.currentTimeMillis(), event, keyValues))) {
			this.omittedLines.incrementAndGet();
		}
	}

	private void runWriter() {
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
		List<QueuedLine> lines = new ArrayList<>();
		this.queue.drainTo(lines);
		lines.forEach(QueuedLine::write);
		long count = this.omittedLines.getAndSet(0);
		if (count > 0) {
			LogEvent.LOG_OMITTED.log("lines", count, "limit_per_s", this.maxLinesPerSecond);
		}
	}

	/**
	 * Writes the queued lines and stops the writer thread.
	 */
	public void close() {
		this.closed = true;
		flush();
	}

	/**
	 * Line that waits to be written, with the time of its event, which is earlier than
	 * the time at which the line is written. Immutable.
	 */
	private record QueuedLine(long atMillis, LogEvent event, Object[] keyValues) {

		void write() {
			Object[] timedKeyValues = new Object[this.keyValues.length + 2];
			timedKeyValues[0] = "at_ms";
			timedKeyValues[1] = this.atMillis;
			System.arraycopy(this.keyValues, 0, timedKeyValues, 2, this.keyValues.length);
			this.event.log(timedKeyValues);
		}

	}

}
