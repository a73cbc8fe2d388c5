package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.http.ConnectionPool;
import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.route.EndpointBeliefs;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;

/**
 * A gateway host: front for clients, follower of the platform's store, and owner of the
 * pools that fall to it. Invariant: nothing that must outlive the process is kept only
 * here; a version of the configuration is never followed by an older one. {@link #start},
 * {@link #stop} and {@link #reload} may be called by any thread.
 *
 * <pre>
 * GatewayHost host = GatewayHost.start(settings, 9464, new PlatformWireFormat(), platform);
 * host.stop().join();
 * </pre>
 */
public final class GatewayHost {

	/** In place of a port for a host that serves no metrics. */
	public static final int NO_METRICS = -1;

	/** Most log lines per second; about twice those of a busy second. */
	private static final long MAX_LOG_LINES_PER_SECOND = 400;

	/**
	 * Wait of a read for a new configuration in milliseconds. A configuration is up to
	 * two waits old when the store goes away, which is taken off the time for which
	 * requests with keys go on.
	 */
	private static final long CONFIGURATION_LONG_POLL_MILLIS = 800;

	/**
	 * Pause between two reads of configurations in milliseconds; bounds the calls while
	 * configurations come in quick succession.
	 */
	private static final long CONFIGURATION_PAUSE_MILLIS = 50;

	/**
	 * Time in milliseconds for which another host waits for a record before it answers.
	 */
	private static final long RELAY_LONG_POLL_MILLIS = 800;

	/**
	 * Pause after a configuration that another host has passed on, in milliseconds; of
	 * configurations in quick succession only some need to be taken over.
	 */
	private static final long RELAYED_CONFIGURATION_PAUSE_MILLIS = 150;

	/** Pause after entries of endpoints that another host has passed on. */
	private static final long RELAYED_ENDPOINT_PAUSE_MILLIS = 50;

	/** Part of the drain bound after which entries of endpoints are read again. */
	private static final double ENDPOINT_PAUSE_DRAIN_SHARE = 0.45;

	/**
	 * Pause between two reads of the directory of hosts in milliseconds; heartbeats of
	 * known hosts tell of new ones sooner.
	 */
	private static final long DIRECTORY_PAUSE_MILLIS = 6000;

	/** Time between two looks at ages and clocks in milliseconds. */
	private static final long MONITOR_INTERVAL_MILLIS = 100;

	/**
	 * Part of the revocation bound after which the configuration is confirmed at once.
	 */
	private static final double CONFIRM_REVOCATION_SHARE = 0.7;

	/** Difference of the clocks in milliseconds that counts as a step. */
	private static final long CLOCK_STEP_MILLIS = 500;

	private static final long PUBLISH_RETRY_DELAY_MILLIS = 500;

	/**
	 * Time in milliseconds from the start of a stop until the balancer has seen two
	 * negative answers to its readiness question, one a second.
	 */
	private static final long BALANCER_NOTICE_MILLIS = 2600;

	/** Time in milliseconds that is kept for the end of the process. */
	static final long EXIT_RESERVE_MILLIS = 600;

	private static final long STOP_CHECK_INTERVAL_MILLIS = 20;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final GatewayContext context;

	private HostRecord ownRecord;

	private final Platform platform;

	private final FrontServer front;

	private final GatewayPeers peers;

	private final EndpointBeliefs endpointRegistry = new EndpointBeliefs();

	private final RecordFollower<RouteTable> configurations;

	private final RecordFollower<EndpointEntry> endpoints;

	private final RecordFollower<HostRecord> directory;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private InetSocketAddress frontAddress;

	private InetSocketAddress readinessAddress;

	private InetSocketAddress metricsAddress;

	private boolean ready;

	private long clockOffsetMillis = Clocks.wallMillis() - Clocks.monotonicMillis();

	private GatewayHost(Eventloop loop, GatewaySettings settings, HeaderCodec wireFormat,
			BiFunction<NioReactor, ConnectionPool, Platform> platformFactory) {
		this.loop = loop;
		DecisionLog log = new DecisionLog(MAX_LOG_LINES_PER_SECOND, Clocks::monotonicMillis);
		ConnectionPool pool = new ConnectionPool(loop, Clocks::monotonicMillis);
		PlacementService placements = new PlacementService(loop, log, settings.bounds());
		this.context = new GatewayContext(loop, settings, wireFormat, pool, placements, log, new HostMetrics());
		this.platform = platformFactory.apply(loop, pool);
		this.ownRecord = new HostRecord(settings.host(), "", settings.zone(), Clocks.wallMillis(), settings.capacity());
		this.peers = new GatewayPeers(loop, this.ownRecord, settings.clusterName(), log, placements);
		this.context.peers = this.peers;
		this.front = new FrontServer(this.context);
		this.configurations = createFollower("configuration", this.platform.configurations(),
				new RecordFollower.PollTiming(CONFIGURATION_LONG_POLL_MILLIS, CONFIGURATION_PAUSE_MILLIS,
						RELAYED_CONFIGURATION_PAUSE_MILLIS),
				RELAY_LONG_POLL_MILLIS, this::onConfiguration);
		this.endpoints = createFollower("endpoints", this.platform.endpoints(), new RecordFollower.PollTiming(0,
				(long) (settings.bounds().drainMillis() * ENDPOINT_PAUSE_DRAIN_SHARE), RELAYED_ENDPOINT_PAUSE_MILLIS),
				RELAY_LONG_POLL_MILLIS, this::onEndpoints);
		this.directory = createFollower("hosts", this.platform.directory().records(),
				new RecordFollower.PollTiming(0, DIRECTORY_PAUSE_MILLIS, DIRECTORY_PAUSE_MILLIS), 0, this::onDirectory);
	}

	private <T> RecordFollower<T> createFollower(String kind, RecordSource<T> store,
			RecordFollower.PollTiming pollTiming, long relayLongPollMillis,
			Consumer<RecordFollower.Update<T>> onUpdate) {
		RecordRelay relay = this.peers.relay();
		return new RecordFollower<>(this.loop, kind, relay.createSource(kind, store, relayLongPollMillis), pollTiming,
				relay.createLog(kind), this.context.log, onUpdate);
	}

	/**
	 * Starts a host.
	 * @param settings settings of the host
	 * @param metricsPort port for metrics on the internal address, 0 for one that the
	 * system chooses, or {@link #NO_METRICS}
	 * @param wireFormat headers of requests and answers
	 * @param platformFactory creates the adapter to the platform
	 * @return the running host
	 * @throws IOException if an address cannot be bound
	 */
	public static GatewayHost start(GatewaySettings settings, int metricsPort, HeaderCodec wireFormat,
			BiFunction<NioReactor, ConnectionPool, Platform> platformFactory) throws IOException {
		Eventloop loop = Eventloop.builder()
			.withTimeProvider(Clocks::monotonicMillis)
			.withFatalErrorHandler((failure, context) -> LogEvent.INTERNAL_ERROR.log("reason", failure, "context",
					context, "at", (failure.getStackTrace().length > 0) ? failure.getStackTrace()[0] : ""))
			.build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, settings.host());
		thread.start();
		GatewayHost host = new GatewayHost(loop, settings, wireFormat, platformFactory);
		try {
			loop.submit(() -> host.listen(metricsPort)).join();
		}
		catch (CompletionException ex) {
			loop.execute(() -> loop.keepAlive(false));
			throw new IOException(ex.getCause());
		}
		return host;
	}

	private void listen(int metricsPort) throws IOException {
		GatewaySettings settings = this.context.settings.get();
		this.ownRecord = this.peers.start(settings.internal());
		this.context.placements.start(this.peers);
		this.frontAddress = this.front.listen(settings.front());
		this.readinessAddress = new StatusServer(this.loop,
				(path) -> new StatusServer.Response(ready() ? OK : UNAVAILABLE, ""))
			.listen(settings.readiness());
		if (metricsPort != NO_METRICS) {
			this.metricsAddress = new StatusServer(this.loop, this::metricsPage)
				.listen(new InetSocketAddress(settings.internal().getAddress(), metricsPort));
		}
		registerGauges();
		this.context.log.write(LogEvent.HOST_STARTED, "host", settings.host(), "zone", settings.zone(), "http",
				this.frontAddress, "readiness", this.readinessAddress, "internal", this.ownRecord.address(),
				"incarnation", this.ownRecord.incarnation());
		this.configurations.start();
		this.endpoints.start();
		this.directory.start();
		publishOwnRecord();
		monitor();
	}

	private StatusServer.Response metricsPage(String path) {
		return path.equals("/metrics") ? new StatusServer.Response(OK, this.context.metrics.scrape())
				: new StatusServer.Response(NOT_FOUND, "");
	}

	private void registerGauges() {
		HostMetrics metrics = this.context.metrics;
		metrics.gauge(Metric.IN_FLIGHT, this.front::activeRequests);
		metrics.gauge(Metric.VIEW_HOSTS, this.peers::liveCount);
		metrics.gauge(Metric.PEER_BYTES, this.peers::sentBytes);
		metrics.gauge(Metric.CONFIGURATION_VERSION,
				() -> Optional.ofNullable(this.context.routes.get()).map(RouteTable::version).orElse(-1L));
		metrics.gauge(Metric.CONFIGURATION_AGE, this.context::reportedConfigurationAgeMillis);
		metrics.gauge(Metric.PLACES_WAITING, this.context.placements::waitingCount);
		metrics.gauge(Metric.PLACES_RUNNING, this.context.placements::runningCount);
		metrics.gauge(Metric.ENDPOINT_CONNECTIONS, this.context.connections::openedConnections);
	}

	private void publishOwnRecord() {
		this.platform.directory().publish(this.ownRecord).whenException((failure) -> {
			this.context.log.write(LogEvent.STORE_LOST, "records", "own_host_record", "reason", failure.getMessage());
			if (!this.context.stopping()) {
				this.loop.delayBackground(PUBLISH_RETRY_DELAY_MILLIS, this::publishOwnRecord);
			}
		});
	}

	private void onConfiguration(RecordFollower.Update<RouteTable> update) {
		this.context.configurationConfirmation
			.set(this.context.configurationConfirmation.get().newer(update.confirmation()));
		RouteTable routes = this.context.routes.get();
		for (Optional<RouteTable> entry : update.entries().values()) {
			if (entry.isPresent() && (routes == null || entry.get().version() > routes.version())) {
				routes = entry.get();
				this.context.routes.set(routes);
				this.context.log.write(LogEvent.ROUTES_CHANGED, "version", routes.version(), "routes", routes.size(),
						"keys_in_use", routes.keysInUse());
				this.context.placements.updateConfiguration(routes, this.context.endpoints.get());
			}
		}
	}

	private void onEndpoints(RecordFollower.Update<EndpointEntry> update) {
		this.context.endpointsLoaded = true;
		this.endpointRegistry.update(update.entries(), update.complete(), update.outageMillis(),
				Clocks.monotonicMillis());
		replaceEndpoints();
	}

	private void replaceEndpoints() {
		EndpointTable before = this.context.endpoints.get();
		EndpointTable after = this.endpointRegistry.table();
		if (after.byId().equals(before.byId())) {
			return;
		}
		this.context.endpoints.set(after);
		TreeSet<String> ids = new TreeSet<>(before.byId().keySet());
		ids.addAll(after.byId().keySet());
		for (String id : ids) {
			EndpointEntry previous = before.byId().get(id);
			EndpointEntry current = after.byId().get(id);
			if (current == null || !current.equals(previous)) {
				this.context.log.write(LogEvent.ENDPOINT_CHANGED, "endpoint", id, "state", describeState(current),
						"service", (current != null) ? current.service() : previous.service());
			}
			if (current == null) {
				this.context.connections.closeIdle(previous.address());
			}
		}
		this.context.placements.updateConfiguration(this.context.routes.get(), after);
	}

	private static String describeState(EndpointEntry entry) {
		if (entry == null) {
			return "gone";
		}
		return entry.leaving() ? "leaving" : "working";
	}

	private void onDirectory(RecordFollower.Update<HostRecord> update) {
		this.peers.updateDirectory(update.entries(), Clocks.monotonicMillis());
	}

	private void monitor() {
		long offsetMillis = Clocks.wallMillis() - Clocks.monotonicMillis();
		if (Math.abs(offsetMillis - this.clockOffsetMillis) > CLOCK_STEP_MILLIS) {
			this.context.log.write(LogEvent.CLOCK_STEPPED, "by_ms", offsetMillis - this.clockOffsetMillis);
		}
		this.clockOffsetMillis = offsetMillis;
		if (this.context.configurationAgeMillis() > this.context.bounds().revocationMillis()
				* CONFIRM_REVOCATION_SHARE) {
			this.configurations.confirmNow();
		}
		this.endpointRegistry.settle(Clocks.monotonicMillis());
		replaceEndpoints();
		ready();
		this.loop.delayBackground(MONITOR_INTERVAL_MILLIS, this::monitor);
	}

	private boolean ready() {
		RouteTable table = this.context.routes.get();
		boolean confirmed = table != null && (!table.keysInUse()
				|| Admission.apiKeysConfirmed(this.context.configurationAgeMillis(), this.context.bounds()));
		boolean now = confirmed && this.context.endpointsLoaded && !this.context.stopping();
		if (now != this.ready) {
			this.ready = now;
			this.context.log.write(LogEvent.READINESS_CHANGED, "ready", now, "configuration_age_ms",
					this.context.reportedConfigurationAgeMillis(), "stopping", this.context.stopping());
		}
		return now;
	}

	/**
	 * Returns the address for clients.
	 * @return the address that the host listens on
	 */
	public InetSocketAddress frontAddress() {
		return this.frontAddress;
	}

	/**
	 * Returns the address for readiness questions.
	 * @return the address that the host listens on
	 */
	public InetSocketAddress readinessAddress() {
		return this.readinessAddress;
	}

	/**
	 * Returns the address for metrics.
	 * @return the address that the host listens on, or null if it serves no metrics
	 */
	public InetSocketAddress metricsAddress() {
		return this.metricsAddress;
	}

	/**
	 * Ends the host at once, as if its process were killed. For tests.
	 */
	public void kill() {
		this.loop.execute(() -> {
			if (this.loop.getSelector() != null) {
				this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			}
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	/**
	 * Takes over settings that may change while a host runs.
	 * @param settings the new settings
	 */
	public void reload(GatewaySettings settings) {
		this.loop.execute(() -> {
			GatewaySettings before = this.context.settings.getAndSet(settings);
			this.context.log.write(LogEvent.SETTINGS_RELOADED, "changed", !before.equals(settings), "need_restart",
					before.differencesThatNeedRestart(settings));
		});
	}

	/**
	 * Stops the host without cutting off a request: it tells the balancer and the other
	 * hosts, serves what still comes, and ends when nothing is in progress or its time is
	 * over.
	 * @return completes when the host has stopped
	 */
	public CompletableFuture<Void> stop() {
		this.loop.execute(() -> {
			if (!this.context.stopping()) {
				this.context.stoppingSince = Clocks.monotonicMillis();
				this.context.log.write(LogEvent.HOST_STOPPING, "in_flight", this.front.activeRequests(), "connections",
						this.front.connections());
				this.peers.leave();
				this.platform.directory()
					.remove(this.ownRecord.host())
					.whenException((failure) -> this.context.log.write(LogEvent.STORE_LOST, "records",
							"own_host_record", "reason", failure.getMessage()));
				this.front.closeAfterResponses();
				advanceStop();
			}
		});
		return this.stopped;
	}

	private void advanceStop() {
		long elapsedMillis = Clocks.monotonicMillis() - this.context.stoppingSince;
		boolean done = elapsedMillis > BALANCER_NOTICE_MILLIS && this.front.activeRequests() == 0;
		if (done || elapsedMillis > this.context.bounds().graceMillis() - EXIT_RESERVE_MILLIS) {
			this.front.closeIdle();
			this.context.log.write(LogEvent.HOST_STOPPED, "in_flight", this.front.activeRequests(), "ms",
					elapsedMillis);
			this.context.log.close();
			this.stopped.complete(null);
			this.loop.keepAlive(false);
		}
		else {
			this.loop.delay(STOP_CHECK_INTERVAL_MILLIS, this::advanceStop);
		}
	}

}
