package carawayswitch.gateway;

import java.util.Set;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.route.EndpointEntry;
import carawayswitch.schedule.EndpointBackoffs;
import carawayswitch.schedule.ReplacedEndpoints;

/**
 * Records which endpoints have asked this host in their answers for no more requests, and
 * reports it in the log and the metrics. Confined to the event loop thread.
 */
final class EndpointBackoffRecorder {

	private final EndpointBackoffs backoffs = new EndpointBackoffs();

	private final DecisionLog log;

	private final HostMetrics metrics;

	EndpointBackoffRecorder(DecisionLog log, HostMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Records what the head of an answer asks for.
	 * @param endpoint the endpoint
	 * @param response the head
	 * @param now monotonic time in milliseconds
	 * @return true if another endpoint has answered at the address of the endpoint, and
	 * this was not known
	 */
	boolean onHead(EndpointEntry endpoint, EndpointResponse response, long now) {
		if (!response.attributable()) {
			return false;
		}
		long retryAfter = response.backoffMillis();
		if (retryAfter == EndpointResponse.UNUSABLE_RETRY_AFTER) {
			report(endpoint, "unusable_retry_after", now);
		}
		else if (retryAfter > 0 && this.backoffs.onRetryAfter(endpoint.id(), endpoint.startedAt(), retryAfter,
				Clocks.wallMillis(), now)) {
			report(endpoint, "retry_after", now);
		}
		if (response.leaving() && this.backoffs.onLeaving(endpoint.id(), endpoint.startedAt(), now)) {
			report(endpoint, "leaving", now);
		}
		boolean replaced = response.misdirected() && this.backoffs.onReplaced(endpoint.id(), endpoint.startedAt(),
				ReplacedEndpoints.RETENTION_MILLIS, now);
		if (replaced) {
			report(endpoint, "replaced", now);
		}
		return replaced;
	}

	private void report(EndpointEntry endpoint, String cause, long now) {
		long wait = waitMillis(endpoint, now);
		this.log.write(LogEvent.ENDPOINT_BACKOFF, "endpoint", endpoint.id(), "service", endpoint.service(), "cause",
				cause, "wait_ms", (wait == EndpointBackoffs.FOR_GOOD) ? "for_good" : wait);
		this.metrics.add(Metric.ENDPOINT_BACKOFFS, 1, "service", endpoint.service(), "cause", cause);
	}

	/**
	 * Returns the time for which no request may be sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param now monotonic time in milliseconds
	 * @return time in milliseconds, 0 if requests may be sent, or
	 * {@link EndpointBackoffs#FOR_GOOD}
	 */
	long waitMillis(EndpointEntry endpoint, long now) {
		return this.backoffs.waitMillis(endpoint.id(), endpoint.startedAt(), now);
	}

	void retain(Set<String> registered, long now) {
		this.backoffs.retain(registered, now);
	}

}
