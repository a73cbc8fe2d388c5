package carawayswitch.gateway;

import carawayswitch.metrics.Metric;
import carawayswitch.rollout.HostEvidence;
import carawayswitch.route.EndpointEntry;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.StreamStats;

/**
 * Reports an attempt to the evidence on the versions of its service, beside another
 * reporter. Confined to the event loop thread.
 */
final class RolloutReporter implements AttemptReporter {

	/** Number of endpoints of a version that are reported one by one. */
	private static final int REPORTED_ENDPOINTS = ExposedEndpoints.FEWEST;

	private final AttemptReporter other;

	private final GatewayContext context;

	private final EndpointEntry endpoint;

	private final String route;

	private final int promptTokens;

	private HostEvidence.Attempt attempt;

	RolloutReporter(AttemptReporter other, GatewayContext context, EndpointEntry endpoint, String route,
			int promptTokens) {
		this.other = other;
		this.context = context;
		this.endpoint = endpoint;
		this.route = route;
		this.promptTokens = promptTokens;
	}

	@Override
	public boolean placed() {
		return this.other.placed();
	}

	@Override
	public void onReplaced(EndpointEntry replaced) {
		this.other.onReplaced(replaced);
	}

	@Override
	public void onSent(long now) {
		this.attempt = this.context.rollouts.evidence(this.endpoint.service())
			.onSent(this.endpoint.version(), reportedEndpoint(), this.route, this.promptTokens, now);
		if (!this.context.versionGate.get().open(this.endpoint.service())) {
			this.context.metrics.add(Metric.ROLLOUT_REQUESTS, 1, "service", this.endpoint.service(), "version",
					this.endpoint.version());
		}
		this.other.onSent(now);
	}

	// The first endpoints of each version are reported one by one, since their times are
	// compared relative to their speeds.
	private String reportedEndpoint() {
		return this.context.endpoints.get()
			.accepting(this.endpoint.service(), this.endpoint.version())
			.stream()
			.limit(REPORTED_ENDPOINTS)
			.map(EndpointEntry::id)
			.filter(this.endpoint.id()::equals)
			.findFirst()
			.orElse("");
	}

	@Override
	public void onHead(double requestLimit, long now) {
		this.other.onHead(requestLimit, now);
	}

	@Override
	public void onFirstEvent(long millis) {
		this.attempt.onFirstEvent(millis);
		this.other.onFirstEvent(millis);
	}

	@Override
	public void onStalled(boolean stalled) {
		this.other.onStalled(stalled);
	}

	@Override
	public void onEnded(AttemptResult result, StreamStats stats, int events, boolean disconnected, long now) {
		this.attempt.onEnded(end(result), stats.longestPauseMillis(), now);
		this.other.onEnded(result, stats, events, disconnected, now);
	}

	// An endpoint that is leaving closes connections without a fault of its version, and
	// one that is not reached has answered nothing.
	private HostEvidence.End end(AttemptResult result) {
		return switch (result) {
			case ANSWERED -> HostEvidence.End.GOOD;
			case FAILED -> HostEvidence.End.BAD;
			case LOST -> (this.context.endpoints.get().acceptingById(this.endpoint.id()) != null) ? HostEvidence.End.BAD
					: HostEvidence.End.UNKNOWN;
			case ABANDONED, NOT_TAKEN, UNREACHABLE -> HostEvidence.End.UNKNOWN;
		};
	}

}
