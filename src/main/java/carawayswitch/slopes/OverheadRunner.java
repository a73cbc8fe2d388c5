package carawayswitch.slopes;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures the overhead of state, proxying and control and prints it as tables.
 * Stateless.
 *
 * <pre>
 * OverheadRunner.run(new int[] { 3, 6, 12, 24 }, 10_000, System.out);
 * </pre>
 */
public final class OverheadRunner {

	private OverheadRunner() {
	}

	/**
	 * Runs all measurements.
	 * @param hostCounts number of hosts of each fleet to measure
	 * @param durationMillis time in milliseconds for which each fleet is measured
	 * @param out receives the tables
	 * @throws Exception if a fleet cannot be started or a request fails
	 */
	public static void run(int[] hostCounts, long durationMillis, PrintStream out) throws Exception {
		out.println("state");
		StateOverhead.measure()
			.forEach((name, value) -> out.println(String.format(Locale.ROOT, "  %-56s %12.2f", name, value)));
		out.println("path                 connections  median us     p99 us   requests/s");
		for (ProxyOverhead.Figures figures : ProxyOverhead.measure()) {
			out.println(String.format(Locale.ROOT, "  %-18s %11d %10d %10d %12.0f", figures.name(),
					figures.connections(), figures.medianMicros(), figures.p99Micros(), figures.requestsPerSecond()));
		}
		out.println("control, for each host   hosts  sent bytes/s   frames/s   core %    heap bytes");
		for (int hosts : hostCounts) {
			ControlOverhead.Figures figures = ControlOverhead.measure(hosts, durationMillis);
			out.println(String.format(Locale.ROOT, "  %28d %13.0f %10.1f %8.2f %13d", figures.hosts(),
					figures.sentBytesPerSecond(), figures.framesPerSecond(), figures.corePercent(),
					figures.heapBytes()));
		}
	}

}
