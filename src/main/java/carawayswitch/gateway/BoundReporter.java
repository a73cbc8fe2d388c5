package carawayswitch.gateway;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;

/**
 * Reports each time that a bound on memory takes effect, in the log and as a metric.
 * Immutable.
 *
 * @param log receives one line for each report
 * @param metrics metrics of the host
 */
record BoundReporter(DecisionLog log, HostMetrics metrics) {

	/**
	 * Reports that a bound took effect.
	 * @param bound label of the bound in the metric
	 * @param event event of the log
	 * @param keyValues alternating keys and values of its line
	 */
	void report(String bound, LogEvent event, Object... keyValues) {
		this.metrics.add(Metric.MEMORY_BOUNDS, 1, "bound", bound);
		this.log.write(event, keyValues);
	}

}
