package carawayswitch.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.backpressure.HostBodyShare;
import carawayswitch.backpressure.ResponseBufferBudget;
import carawayswitch.http.ConnectionPool;
import carawayswitch.http.RequestBodyBudget;
import carawayswitch.http.ServerConnection;
import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.Confirmation;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.HostRetryBudget;
import carawayswitch.schedule.OutputLengthEstimator;
import carawayswitch.schedule.PromptQuarantine;
import carawayswitch.schedule.TwoChoicesBalancer;

/**
 * State that the requests of a host share. The settings, the cached routes and endpoints
 * and their confirmation are each replaced atomically and may be read by any thread;
 * everything else is confined to the thread of the event loop.
 */
final class GatewayContext {

	final NioReactor reactor;

	final AtomicReference<GatewaySettings> settings;

	final AtomicReference<RouteTable> routes = new AtomicReference<>();

	final AtomicReference<EndpointTable> endpoints = new AtomicReference<>(EndpointTable.EMPTY);

	final AtomicReference<Confirmation> configurationConfirmation = new AtomicReference<>(Confirmation.NONE);

	final HeaderCodec headerCodec;

	final ConnectionPool connections;

	final PlacementService placements;

	final DecisionLog log;

	final HostMetrics metrics;

	final SplittableRandom random = new SplittableRandom();

	final Startup startup;

	final OutputLengthEstimator lengthEstimator = new OutputLengthEstimator();

	final Map<String, TwoChoicesBalancer> balancers = new HashMap<>();

	final Map<String, HostRetryBudget> retryBudgets = new HashMap<>();

	final EndpointBackoffRecorder endpointBackoffs;

	final PromptQuarantine quarantine;

	final ResponseLimits responseLimits = new ResponseLimits();

	final RequestBodyBudget requestBodies = RequestBodyBudget.ofHeap(Runtime.getRuntime().maxMemory());

	final CrossZoneMeter crossZoneMeter;

	final PlainZoneTraffic zoneTraffic;

	/** Bounds on memory as of the start of the host. */
	final GatewaySettings.Pressure pressure;

	final ResponseBufferBudget<ServerConnection> responseBuffers;

	/** Bodies that endpoints of plain services hold for this host. */
	final HostBodyShare<EndpointAttempt> plainBodies;

	final BoundReporter boundReporter;

	/** Versions at which requests may begin; may be read by any thread. */
	final AtomicReference<VersionGate> versionGate = new AtomicReference<>(VersionGate.OFF);

	GatewayPeers peers;

	RolloutService rollouts;

	StreamOrigins streamOrigins;

	/** Whether endpoint entries have been read at least once. */
	boolean endpointsLoaded;

	/** Whether quarantine rules have been read at least once. */
	boolean quarantineLoaded;

	/**
	 * Whether the time is over for which requests wait for the first read of the
	 * quarantine rules and of the origins of streams.
	 */
	boolean startupWaitOver;

	private final long startedAt = Clocks.monotonicMillis();

	/**
	 * Monotonic time in milliseconds at which the graceful shutdown began, or a negative
	 * number if it has not.
	 */
	long stoppingSince = -1;

	/**
	 * Whether all responses of the shutdown are written. The process may end at any time.
	 */
	boolean stopped;

	GatewayContext(NioReactor reactor, GatewaySettings settings, HeaderCodec headerCodec, ConnectionPool connections,
			PlacementService placements, PromptQuarantine quarantine, DecisionLog log, HostMetrics metrics) {
		this.reactor = reactor;
		this.settings = new AtomicReference<>(settings);
		this.headerCodec = headerCodec;
		this.connections = connections;
		this.placements = placements;
		this.quarantine = quarantine;
		this.log = log;
		this.metrics = metrics;
		this.crossZoneMeter = new CrossZoneMeter(this.settings::get, metrics);
		this.zoneTraffic = new PlainZoneTraffic(settings, log, this.endpoints::get, () -> this.peers.hostsByZone());
		this.boundReporter = new BoundReporter(log, metrics);
		this.pressure = settings.pressure();
		this.responseBuffers = new ResponseBufferBudget<>(this.pressure.responseBufferBytes());
		this.plainBodies = new HostBodyShare<>(this.pressure.endpointBodyBytes());

		this.startup = new Startup(reactor, this.random,
				(name, successful) -> metrics.add(Metric.STARTUP_CALLS, 1, "call", name, "result",
						successful ? "read" : "failed"),
				() -> log.write(LogEvent.STARTUP_ENDED, "process_cpu_ms", Clocks.processorMillis()));
		this.endpointBackoffs = new EndpointBackoffRecorder(log, metrics);
	}

	GatewaySettings.Bounds bounds() {
		return this.settings.get().bounds();
	}

	long configurationAgeMillis() {
		return this.configurationConfirmation.get().ageMillis(Clocks.monotonicMillis(), Clocks.wallMillis());
	}

	long reportedConfigurationAgeMillis() {
		return this.configurationConfirmation.get().reportedAgeMillis(Clocks.monotonicMillis(), Clocks.wallMillis());
	}

	TwoChoicesBalancer balancer(String service) {
		return this.balancers.computeIfAbsent(service, (name) -> new TwoChoicesBalancer());
	}

	HostRetryBudget retryBudget(String service) {
		GatewaySettings.Bounds bounds = bounds();
		return this.retryBudgets.computeIfAbsent(service,
				(name) -> new HostRetryBudget(bounds.retryRatio(), bounds.retryExtra(), bounds.retryWindowMillis(),
						this.settings.get().firstStart() ? HostRetryBudget.NO_PREDECESSOR : this.startedAt));
	}

	boolean stateLoaded() {
		return this.routes.get() != null && this.endpointsLoaded && (this.startupWaitOver
				|| this.quarantineLoaded && this.streamOrigins.loaded() && this.versionGate.get().loaded());
	}

	boolean stopping() {
		return this.stoppingSince >= 0;
	}

}
