package carawayswitch.gateway;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Finds out when an event loop runs late, and whether its process was computing
 * meanwhile. A delay with little processor time means that the process was paused or got
 * no processor; one with as much processor time as delay was made by the host itself.
 * Confined to the event loop.
 */
final class LoopDelayMonitor {

	/** Interval between two observations in milliseconds. */
	static final long INTERVAL_MILLIS = 100;

	/** Shortest time in milliseconds over which delays are added up. */
	static final long WINDOW_MILLIS = 1000;

	/** Delay within a window from which on it is reported, in milliseconds. */
	static final long REPORTED_DELAY_MILLIS = WINDOW_MILLIS / 2;

	private final LongSupplier processorMillis;

	private long windowStartMillis;

	private long windowStartProcessorMillis;

	private long lastMillis;

	private long delayMillis;

	/**
	 * Creates a monitor.
	 * @param nowMillis the present monotonic time in milliseconds
	 * @param processorMillis supplies the processor time that the process has used, in
	 * milliseconds
	 */
	LoopDelayMonitor(long nowMillis, LongSupplier processorMillis) {
		this.processorMillis = processorMillis;
		this.lastMillis = nowMillis;
		startWindow(nowMillis);
	}

	/**
	 * Records that the loop runs. Called {@link #INTERVAL_MILLIS} after the call before
	 * if the loop is on time.
	 * @param nowMillis the present monotonic time in milliseconds
	 * @return the delay, if a window has ended in which the loop ran late
	 */
	Optional<LoopDelay> observe(long nowMillis) {
		this.delayMillis += Math.max(0, nowMillis - this.lastMillis - INTERVAL_MILLIS);
		this.lastMillis = nowMillis;
		long elapsedMillis = nowMillis - this.windowStartMillis;
		if (elapsedMillis < WINDOW_MILLIS) {
			return Optional.empty();
		}
		LoopDelay delay = new LoopDelay(this.delayMillis, elapsedMillis,
				this.processorMillis.getAsLong() - this.windowStartProcessorMillis);
		startWindow(nowMillis);
		return Optional.of(delay).filter((ended) -> ended.delayMillis() >= REPORTED_DELAY_MILLIS);
	}

	private void startWindow(long nowMillis) {
		this.windowStartMillis = nowMillis;
		this.windowStartProcessorMillis = this.processorMillis.getAsLong();
		this.delayMillis = 0;
	}

	/**
	 * Delay of an event loop within a window that ends now. Times in milliseconds.
	 * Immutable.
	 *
	 * @param delayMillis by how much the loop ran late, all turns together
	 * @param windowMillis length of the window
	 * @param processorMillis processor time of the process in the window, all threads
	 * together
	 */
	record LoopDelay(long delayMillis, long windowMillis, long processorMillis) {

	}

}
