package carawayswitch.gateway;

import java.lang.management.ManagementFactory;

import com.sun.management.OperatingSystemMXBean;

import carawayswitch.route.Confirmation;
import carawayswitch.time.MonotonicClock;
import carawayswitch.time.WallClock;

/**
 * The monotonic clock, the wall clock and the processor time of this process. Decision
 * logic takes clock values as arguments instead of reading them here. Thread-safe.
 */
final class Clocks {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final OperatingSystemMXBean OPERATING_SYSTEM = ManagementFactory
		.getPlatformMXBean(OperatingSystemMXBean.class);

	private Clocks() {
	}

	static long monotonicMillis() {
		return MonotonicClock.millis();
	}

	/**
	 * Reads both clocks for the time stamp of a read or a request.
	 * @return a confirmation as of now
	 */
	static Confirmation now() {
		return new Confirmation(monotonicMillis(), wallMillis());
	}

	/**
	 * Returns the processor time that this process has used.
	 * @return the time in milliseconds, all threads together; not positive if it is not
	 * known
	 */
	static long processorMillis() {
		return OPERATING_SYSTEM.getProcessCpuTime() / NANOS_PER_MILLI;
	}

	static long wallMillis() {
		return WallClock.millis();
	}

}
