package carawayswitch.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.LogEvent;
import carawayswitch.message.Message;
import carawayswitch.message.VersionEvidence;
import carawayswitch.message.VersionShare;
import carawayswitch.message.VersionShares;
import carawayswitch.rollout.HostEvidence;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.rollout.RolloutState;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;

/**
 * Takes part in the rollouts of service versions: counts what this host sees of them,
 * reports it to the owner of the pools, and keeps the {@link VersionGate} of this host.
 * While this host is the owner, it also runs the {@link RolloutDecisions}. Does nothing
 * unless the deployment bounds the exposure. Confined to the event loop thread.
 */
final class RolloutService {

	/**
	 * Time in milliseconds between two reports and decisions; a rollback must be in force
	 * everywhere within seconds.
	 */
	static final long REPORT_MILLIS = 225;

	private final NioReactor reactor;

	private final GatewayContext context;

	private final VersionRules rules = new VersionRules();

	private final Map<String, HostEvidence> evidence = new HashMap<>();

	private final RolloutDecisions decisions;

	private final boolean enabled;

	private final long process;

	private RouteTable routes;

	private EndpointTable endpoints = EndpointTable.EMPTY;

	private Runnable confirmOrders = () -> {
	};

	RolloutService(NioReactor reactor, GatewayContext context, RolloutStore store, String host, long process) {
		this.reactor = reactor;
		this.context = context;
		this.process = process;
		this.enabled = context.bounds().rollouts();
		this.decisions = this.enabled ? new RolloutDecisions(reactor, context.bounds().exposure(), store, context.log,
				context.metrics, this::onStored, host, process) : null;
		if (this.enabled) {
			context.versionGate.set(this.rules.gate(Clocks.monotonicMillis()));
		}
	}

	boolean enabled() {
		return this.enabled;
	}

	/**
	 * Starts to report and to decide.
	 * @param confirm has the orders read at once
	 */
	void start(Runnable confirm) {
		if (this.enabled) {
			this.confirmOrders = confirm;
			RepeatedTask.start(this.reactor, REPORT_MILLIS, this::tick);
		}
	}

	/**
	 * Returns the evidence of this host on a service.
	 * @param service name of the service
	 * @return the evidence
	 */
	HostEvidence evidence(String service) {
		return this.evidence.computeIfAbsent(service, HostEvidence::new);
	}

	/**
	 * Counts a request for a service.
	 * @param service name of the service
	 */
	void onRequest(String service) {
		if (this.enabled) {
			evidence(service).onRequest();
		}
	}

	/**
	 * Counts a stream as running at the version at which alone it goes on.
	 * @param service name of the service
	 * @param version the version
	 */
	void onStreamBound(String service, String version) {
		if (this.enabled) {
			evidence(service).onStreamBound(version);
		}
	}

	/**
	 * Ends the count of a stream.
	 * @param service name of the service
	 * @param version the version to which the stream was bound
	 */
	void onBoundStreamEnded(String service, String version) {
		if (this.enabled) {
			evidence(service).onBoundStreamEnded(version);
		}
	}

	/**
	 * Has an attempt counted.
	 * @param reporter reporter of the attempt
	 * @param endpoint its endpoint
	 * @param admitted the request
	 * @return the reporter to use
	 */
	AttemptReporter reporter(AttemptReporter reporter, EndpointEntry endpoint, AdmittedRequest admitted) {
		return this.enabled ? new RolloutReporter(reporter, this.context, endpoint, admitted.route().name(),
				admitted.metadata().promptTokens()) : reporter;
	}

	void onOrders(RecordFollower.Update<RolloutOrder> update) {
		this.rules.onOrders(update.entries(), update.confirmation().monotonicMillis(), update.position().epoch());
		update.entries()
			.forEach((service, order) -> order.ifPresent((present) -> this.context.log.write(LogEvent.ROLLOUT_ORDERED,
					"service", service, "target", present.target(), "duration_ms", present.durationMillis())));
		refreshGate();
	}

	void onProgress(RecordFollower.Update<RolloutProgress> update) {
		this.rules.onProgressLoaded();
		update.entries().forEach((service, progress) -> progress.ifPresent(this::adopt));
		this.decisions.onRead(update);
		refreshGate();
	}

	private void onStored(RolloutProgress progress) {
		adopt(progress);
		tick();
	}

	private void adopt(RolloutProgress progress) {
		this.decisions.adopt(progress);
		this.rules.onProgress(this.decisions.progress(progress.service()));
	}

	/**
	 * Replaces the configuration and the endpoints. Called before anything begins at new
	 * endpoints.
	 * @param newRoutes the configuration, or null if none is known
	 * @param newEndpoints the endpoints
	 */
	void update(RouteTable newRoutes, EndpointTable newEndpoints) {
		if (this.enabled) {
			this.routes = newRoutes;
			this.endpoints = newEndpoints;
			this.rules.onEndpoints(newEndpoints, Clocks.monotonicMillis());
			refreshGate();
		}
	}

	private void refreshGate() {
		VersionGate gate = this.rules.gate(Clocks.monotonicMillis());
		if (!gate.sameAs(this.context.versionGate.getAndSet(gate))) {
			this.context.placements.versionGate(gate);
		}
		if (this.rules.awaitsOrders()) {
			this.confirmOrders.run();
		}
	}

	/**
	 * Handles a message about a rollout.
	 * @param peer id of the sending host
	 * @param message the message
	 * @param now monotonic time in milliseconds
	 * @return false if the message is about something else
	 */
	boolean onMessage(String peer, Message message, long now) {
		if (message instanceof VersionEvidence report) {
			if (this.enabled && ownsPools()) {
				this.decisions.onEvidence(peer, report, now);
			}
			return true;
		}
		if (message instanceof VersionShares shares) {
			if (this.enabled && peer.equals(this.context.peers.owner())) {
				applyShares(shares, now);
			}
			return true;
		}
		return false;
	}

	private void applyShares(VersionShares shares, long now) {
		shares.shares().forEach((share) -> this.rules.onShare(share, now));
		refreshGate();
	}

	private boolean ownsPools() {
		return this.context.placements.ownsPools();
	}

	private void tick() {
		long now = Clocks.monotonicMillis();
		report(now);
		boolean owner = ownsPools();
		this.decisions.owner(owner, now);
		this.decisions.writeLost(owner);
		if (owner && this.rules.loaded() && this.context.endpointsLoaded && this.routes != null) {
			List<VersionShare> shares = this.decisions.decide(this.rules.orders(), this::situation, now);
			if (!shares.isEmpty()) {
				VersionShares message = new VersionShares(shares);
				this.context.placements.sendToAll(message);
				applyShares(message, now);
				return;
			}
		}
		refreshGate();
	}

	private void report(long now) {
		for (String service : this.rules.services()) {
			VersionShare latest = this.rules.latest(service);
			if (latest == null || !this.rules.reported(service, now)) {
				continue;
			}
			HostEvidence seen = evidence(service);
			seen.begin(latest.rollout(), latest.target());
			VersionEvidence report = seen.report(this.process, latest.revision(), latest.state(), now);
			if (ownsPools()) {
				this.decisions.onEvidence(this.context.peers.selfId(), report, now);
			}
			else {
				this.context.peers.send(this.context.peers.owner(), report);
			}
		}
	}

	private RolloutDecisions.Situation situation(String service) {
		Set<String> accepting = this.endpoints.accepting(service)
			.stream()
			.map(EndpointEntry::version)
			.collect(Collectors.toSet());
		long longest = this.routes.routes()
			.stream()
			.filter((route) -> route.services().stream().anyMatch((candidate) -> candidate.service().equals(service)))
			.mapToLong(Route::timeoutMillis)
			.max()
			.orElse(0);
		return new RolloutDecisions.Situation(accepting, this.rules.registered(service),
				Set.copyOf(this.context.peers.liveHosts()), longest);
	}

	/**
	 * Returns the state of the latest rollout of a service. For tests.
	 * @param service name of the service
	 * @return the state, if there was a rollout
	 */
	Optional<RolloutState> state(String service) {
		return Optional.ofNullable(this.rules.latest(service)).flatMap((latest) -> RolloutState.of(latest.state()));
	}

}
