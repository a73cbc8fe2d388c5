package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.http.ConnectionPool;
import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.PromptQuarantine;

/**
 * A gateway host: serves clients, follows the records of the platform's store, and
 * schedules the pools while it is their owner. Invariants: state that must outlive the
 * process is never kept only in this process; a configuration version is never replaced
 * by an older one. {@link #start}, {@link #stop} and {@link #reload} may be called by any
 * thread.
 *
 * <pre>
 * GatewayHost host = GatewayHost.start(settings, 9464, new PlatformHeaderCodec(), platform);
 * host.stop().join();
 * </pre>
 */
public final class GatewayHost {

	/** Metrics port of a host that serves no metrics. */
	public static final int NO_METRICS = -1;

	/** Maximum number of log lines per second; about twice the rate of a busy second. */
	private static final long MAX_LOG_LINES_PER_SECOND = 400;

	/**
	 * Interval in milliseconds between two checks of the configuration age, pending
	 * endpoint removals, readiness and the clocks.
	 */
	private static final long MONITOR_INTERVAL_MILLIS = 100;

	/**
	 * Change of the offset between the two clocks in milliseconds, within one monitoring
	 * interval, above which a clock step is logged.
	 */
	private static final long CLOCK_STEP_MILLIS = 500;

	/**
	 * Time in milliseconds after the start for which requests wait for the first read of
	 * the quarantine rules and of the origins of streams.
	 */
	private static final long STARTUP_WAIT_MILLIS = 1000;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final Eventloop loop;

	private final LoopThread thread;

	private final GatewayContext context;

	private HostRecord ownRecord;

	private final FrontServer front;

	private final GatewayPeers peers;

	private final GatewayRecords records;

	private final GatewayShutdown shutdown;

	private final CapUseStore capUse;

	private InetSocketAddress frontAddress;

	private InetSocketAddress readinessAddress;

	private InetSocketAddress metricsAddress;

	private boolean ready;

	private long clockOffsetMillis = Clocks.wallMillis() - Clocks.monotonicMillis();

	private GatewayHost(Eventloop loop, LoopThread thread, GatewaySettings settings, HeaderCodec headerCodec,
			BiFunction<NioReactor, ConnectionPool, Platform> platformFactory) {
		this.loop = loop;
		this.thread = thread;
		DecisionLog log = new DecisionLog(MAX_LOG_LINES_PER_SECOND, Clocks::monotonicMillis);
		ConnectionPool pool = new ConnectionPool(loop, Clocks::monotonicMillis, log);
		PromptQuarantine quarantine = new PromptQuarantine();
		HostMetrics metrics = new HostMetrics();
		PlacementService placements = new PlacementService(loop, new BoundReporter(log, metrics), settings, quarantine);
		this.context = new GatewayContext(loop, settings, headerCodec, pool, placements, quarantine, log, metrics);
		Platform platform = platformFactory.apply(loop, pool);
		this.ownRecord = new HostRecord(settings.host(), "", settings.zone(), Clocks.wallMillis(), settings.capacity());
		this.capUse = platform.capUse();
		StoreEpoch storeEpoch = new StoreEpoch(loop, log);
		this.peers = new GatewayPeers(loop, this.ownRecord, settings.clusterName(), storeEpoch, log, placements);
		this.context.peers = this.peers;
		this.peers.meter(this.context.crossZoneMeter);
		this.context.streamOrigins = new StreamOrigins(loop, log, platform.streamOrigins(), placements,
				this.peers::reply, settings.host() + '-' + this.ownRecord.incarnation());
		this.context.rollouts = new RolloutService(loop, this.context, platform.rollouts(), settings.host(),
				this.ownRecord.incarnation());
		this.front = new FrontServer(this.context);
		this.shutdown = new GatewayShutdown(loop, this.context, this.front, platform.directory());
		this.records = new GatewayRecords(loop, this.context, platform, storeEpoch,
				new QuarantineService(loop, quarantine, platform.quarantine(), log));
	}

	/**
	 * Starts a host on an event loop thread of its own.
	 * @param settings settings of the host
	 * @param metricsPort port for metrics on the internal address, 0 for an ephemeral
	 * port, or {@link #NO_METRICS}
	 * @param headerCodec codec for the headers of requests and responses
	 * @param platformFactory factory of the adapter to the platform
	 * @return the running host
	 * @throws IOException if an address cannot be bound
	 */
	public static GatewayHost start(GatewaySettings settings, int metricsPort, HeaderCodec headerCodec,
			BiFunction<NioReactor, ConnectionPool, Platform> platformFactory) throws IOException {
		Eventloop loop = Eventloop.builder()
			.withTimeProvider(Clocks::monotonicMillis)
			.withFatalErrorHandler(GatewayHost::onFatalError)
			.build();
		loop.keepAlive(true);
		LoopThread thread = new LoopThread(loop, settings.host());
		thread.start();
		GatewayHost host = new GatewayHost(loop, thread, settings, headerCodec, platformFactory);
		try {
			CompletableFuture.anyOf(loop.submit(() -> host.listen(metricsPort)), thread.ended()).join();
		}
		catch (CompletionException ex) {
			loop.execute(() -> loop.keepAlive(false));
			throw new IOException(ex.getCause());
		}
		return host;
	}

	// A task that found no memory may have left connections that are never read again, so
	// that the loop must not go on.
	private static void onFatalError(Throwable failure, Object context) {
		if (failure instanceof OutOfMemoryError error) {
			throw error;
		}
		LogEvent.INTERNAL_ERROR.log("reason", failure, "context", context, "at",
				(failure.getStackTrace().length > 0) ? failure.getStackTrace()[0] : "");
	}

	private void listen(int metricsPort) throws IOException {
		GatewaySettings settings = this.context.settings.get();
		this.ownRecord = this.peers.start(settings.internal());
		this.context.placements.start(this.peers, this.context.streamOrigins, this.context.rollouts, this.capUse);
		this.frontAddress = this.front.listen(settings.front());
		this.readinessAddress = new StatusServer(this.loop,
				(path) -> new StatusServer.Response(updateReadiness() ? OK : UNAVAILABLE, ""))
			.listen(settings.readiness());
		if (metricsPort != NO_METRICS) {
			this.metricsAddress = new StatusServer(this.loop, this::metricsPage)
				.listen(new InetSocketAddress(settings.internal().getAddress(), metricsPort));
		}
		registerGauges();
		this.context.log.write(LogEvent.HOST_STARTED, "host", settings.host(), "zone", settings.zone(), "http",
				this.frontAddress, "readiness", this.readinessAddress, "internal", this.ownRecord.address(),
				"incarnation", this.ownRecord.incarnation());
		this.context.startup.await(this::announceReadiness);
		this.records.start(this.ownRecord);
		this.context.streamOrigins.start();
		this.loop.delayBackground(STARTUP_WAIT_MILLIS, () -> {
			this.context.startupWaitOver = true;
			this.context.startup.continueWaiting();
		});
		RepeatedTask.start(this.loop, MONITOR_INTERVAL_MILLIS, this::monitor);
		LoopDelayMonitor delays = new LoopDelayMonitor(Clocks.monotonicMillis(), Clocks::processorMillis);
		RepeatedTask.start(this.loop, LoopDelayMonitor.INTERVAL_MILLIS,
				() -> delays.observe(Clocks.monotonicMillis()).ifPresent(this::logDelay));
	}

	private void logDelay(LoopDelayMonitor.LoopDelay delay) {
		this.context.log.write(LogEvent.LOOP_DELAYED, "delay_ms", delay.delayMillis(), "within_ms",
				delay.windowMillis(), "process_cpu_ms", delay.processorMillis());
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
		metrics.gauge(Metric.QUARANTINE_RULES, () -> this.context.quarantine.rules().size());
		metrics.gauge(Metric.REQUEST_BODY_BYTES, this.context.requestBodies::heldBytes);
		metrics.gauge(Metric.RESPONSE_BUFFER_BYTES, this.context.responseBuffers::bufferedBytes);
		metrics.gauge(Metric.ENDPOINT_CONNECTIONS, this.context.connections::openedConnections);
	}

	// Does not wait for the next run of the monitor, which would delay the first
	// requests.
	private void announceReadiness() {
		if (!updateReadiness()) {
			this.context.startup.await(this::announceReadiness);
		}
	}

	private void monitor() {
		long offsetMillis = Clocks.wallMillis() - Clocks.monotonicMillis();
		if (Math.abs(offsetMillis - this.clockOffsetMillis) > CLOCK_STEP_MILLIS) {
			this.context.log.write(LogEvent.CLOCK_STEPPED, "by_ms", offsetMillis - this.clockOffsetMillis);
		}
		this.clockOffsetMillis = offsetMillis;
		this.records.check(Clocks.monotonicMillis());
		updateReadiness();
	}

	private boolean updateReadiness() {
		RouteTable routes = this.context.routes.get();
		boolean confirmed = routes != null && (!routes.keysInUse()
				|| Admission.apiKeysConfirmed(this.context.configurationAgeMillis(), this.context.bounds()));
		boolean currentlyReady = confirmed && this.context.endpointsLoaded && !this.context.stopping();
		if (currentlyReady != this.ready) {
			this.ready = currentlyReady;
			this.context.log.write(LogEvent.READINESS_CHANGED, "ready", currentlyReady, "configuration_age_ms",
					this.context.reportedConfigurationAgeMillis(), "stopping", this.context.stopping());
		}
		return currentlyReady;
	}

	/**
	 * Returns the address for clients.
	 * @return the address that the host listens on
	 */
	public InetSocketAddress frontAddress() {
		return this.frontAddress;
	}

	/**
	 * Returns the address for readiness checks.
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
	 * Returns whether this host owns the pools. For tests.
	 * @return true if it is the owner in its own view
	 */
	public boolean ownsPools() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.loop.execute(() -> result.complete(this.peers.owner().equals(this.ownRecord.host())));
		return result.join();
	}

	/**
	 * Writes the lines of the log that wait to be written. May block as long as the
	 * output does. Called when the event loop has ended.
	 */
	public void closeLog() {
		this.context.log.close();
	}

	/**
	 * Waits until the event loop of the host has ended.
	 * @return the failure by which it has ended, or empty if the host was stopped
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public Optional<Throwable> awaitEnd() throws InterruptedException {
		return this.thread.awaitEnd();
	}

	/**
	 * Ends the host at once without draining, as if its process were killed. For tests.
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
	 * Applies changed settings while the host runs. The names of changed settings that
	 * need a restart are logged.
	 * @param settings the new settings
	 */
	public void reload(GatewaySettings settings) {
		this.loop.execute(() -> {
			GatewaySettings before = this.context.settings.getAndSet(settings);
			this.context.zoneTraffic.settings(settings);
			this.context.placements.zoneTraffic(settings.zoneTraffic());
			this.context.log.write(LogEvent.SETTINGS_RELOADED, "changed", !before.equals(settings), "need_restart",
					before.differencesThatNeedRestart(settings));
		});
	}

	/**
	 * Shuts the host down gracefully: it fails readiness checks, announces to the other
	 * hosts that it leaves, still serves requests that arrive, and ends when no request
	 * is in flight or the grace period is over. A repeated call has no further effect.
	 * @return completes when the host has stopped
	 */
	public CompletableFuture<Void> stop() {
		this.loop.execute(() -> this.shutdown.start(this.ownRecord.host(), Clocks.monotonicMillis()));
		return this.shutdown.stopped();
	}

}
