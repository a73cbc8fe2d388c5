package carawayswitch.slopes;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import carawayswitch.host.CarawayHost;
import carawayswitch.standin.TrialFleet;

/**
 * Measures the control traffic, processor time and heap per host of an idle fleet, with
 * the default intervals. Stateless.
 */
final class ControlOverhead {

	private static final Map<String, String> DEFAULT_SETTINGS = Map.of("platform.poll_interval", "500ms",
			"membership.heartbeat_interval", "1s", "host.threads", "1");

	private static final long STABILISATION_MILLIS = 6000;

	private static final double NANOS_PER_SECOND = 1e9;

	private ControlOverhead() {
	}

	/**
	 * Starts a fleet, measures it and stops it.
	 * @param hosts number of hosts
	 * @param durationMillis time in milliseconds for which the fleet is measured
	 * @return the figures
	 * @throws IOException if the fleet cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	static Figures measure(int hosts, long durationMillis) throws IOException, InterruptedException {
		long heapBytesBefore = usedHeapBytes();
		TrialFleet fleet = TrialFleet.start(List.of("zone-0", "zone-1", "zone-2"), DEFAULT_SETTINGS);
		for (int i = 0; i < hosts; i++) {
			fleet.addHost(String.format("host-%03d", i), "zone-" + i % 3);
		}
		TimeUnit.MILLISECONDS.sleep(STABILISATION_MILLIS);
		long bytesBefore = sentBytes(fleet);
		long framesBefore = frameCount(fleet);
		long cpuNanosBefore = controlThreadCpuNanos();
		long startNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(durationMillis);
		double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
		double hostSeconds = seconds * hosts;
		double corePercent = (controlThreadCpuNanos() - cpuNanosBefore) / NANOS_PER_SECOND / hostSeconds * 100;
		Figures figures = new Figures(hosts, (sentBytes(fleet) - bytesBefore) / hostSeconds,
				(frameCount(fleet) - framesBefore) / hostSeconds, corePercent,
				(usedHeapBytes() - heapBytesBefore) / hosts);
		fleet.stop();
		return figures;
	}

	private static long sentBytes(TrialFleet fleet) {
		return fleet.hosts().values().stream().mapToLong(CarawayHost::sentBytes).sum();
	}

	private static long frameCount(TrialFleet fleet) {
		return fleet.hosts().values().stream().mapToLong(CarawayHost::frames).sum();
	}

	private static long controlThreadCpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long nanos = 0;
		for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
			if (thread != null && thread.getThreadName().endsWith("-control")) {
				nanos += Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
			}
		}
		return nanos;
	}

	/**
	 * Requests a garbage collection and returns the used heap.
	 * @return used heap in bytes
	 */
	static long usedHeapBytes() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Overhead per host in a fleet of one size. Immutable.
	 *
	 * @param hosts number of hosts
	 * @param sentBytesPerSecond bytes per second that a host sends to other hosts
	 * @param framesPerSecond frames per second that a host sends and receives
	 * @param corePercent share of a core that the control thread of a host uses, in
	 * percent
	 * @param heapBytes heap per host in bytes
	 */
	record Figures(int hosts, double sentBytesPerSecond, double framesPerSecond, double corePercent, long heapBytes) {

	}

}
