package carawayswitch.gateway;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.LogEvent;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointRegistry;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.OriginEntry;
import carawayswitch.route.RouteTable;

/**
 * Records of the platform's store that a gateway host follows, and what follows from
 * their changes. Invariant: a configuration version is never replaced by an older one.
 * Confined to the event loop thread.
 */
final class GatewayRecords {

	/**
	 * Long-poll wait of a read for a new configuration, in milliseconds. When the store
	 * becomes unavailable, the last confirmation is up to two waits old, which shortens
	 * the time for which requests with keys are still served.
	 */
	private static final long CONFIGURATION_LONG_POLL_MILLIS = 800;

	/**
	 * Pause between two reads of configurations in milliseconds; limits the call rate
	 * while configurations change in quick succession.
	 */
	private static final long CONFIGURATION_PAUSE_MILLIS = 50;

	/**
	 * Time in milliseconds for which another host holds a relay request open until a
	 * record arrives.
	 */
	private static final long RELAY_LONG_POLL_MILLIS = 800;

	/**
	 * Pause after a configuration that another host relayed, in milliseconds; when
	 * configurations change in quick succession, only some of them need to be applied.
	 */
	private static final long RELAYED_CONFIGURATION_PAUSE_MILLIS = 150;

	/** Pause after endpoint entries that another host relayed, in milliseconds. */
	private static final long RELAYED_ENDPOINT_PAUSE_MILLIS = 50;

	/** Pause between two reads of endpoint entries, as a share of the drain bound. */
	private static final double ENDPOINT_PAUSE_DRAIN_SHARE = 0.45;

	/**
	 * Pause between two reads of the host directory in milliseconds; heartbeats of known
	 * hosts announce new ones sooner.
	 */
	private static final long DIRECTORY_PAUSE_MILLIS = 6000;

	/**
	 * Age of the configuration, as a share of the revocation bound, from which an
	 * additional read is sent to confirm it.
	 */
	private static final double CONFIRM_REVOCATION_SHARE = 0.7;

	/**
	 * Long-poll wait of a read for new quarantine rules, in milliseconds. Rules are rare;
	 * a silent connection to the store delays them by this time.
	 */
	private static final long QUARANTINE_LONG_POLL_MILLIS = 20_000;

	/**
	 * Time in milliseconds for which another host holds a request for quarantine rules
	 * open; also the time after which a relay that has died is noticed.
	 */
	private static final long QUARANTINE_RELAY_LONG_POLL_MILLIS = 5000;

	/** Pause between two reads of quarantine rules in milliseconds. */
	private static final long QUARANTINE_PAUSE_MILLIS = 50;

	private static final long PUBLISH_RETRY_DELAY_MILLIS = 500;

	/** Name of the record of this host itself. */
	private static final String OWN_RECORD = "own_host_record";

	/**
	 * Number of the first reads without which no request can be served: configuration and
	 * endpoints.
	 */
	private static final int ESSENTIAL_READS = 2;

	private static final RecordFollower.Kind<RouteTable> CONFIGURATIONS = new RecordFollower.Kind<>("configuration",
			(one, other) -> one.version() < other.version(), false);

	private static final RecordFollower.Kind<EndpointEntry> ENDPOINTS = new RecordFollower.Kind<>("endpoints",
			EndpointEntry::startedBefore, false);

	private static final RecordFollower.Kind<HostRecord> HOSTS = new RecordFollower.Kind<>("hosts",
			(one, other) -> one.incarnation() < other.incarnation(), true);

	private static final RecordFollower.Kind<QuarantineRecord> QUARANTINE_RULES = new RecordFollower.Kind<>(
			"quarantine", (one, other) -> one.expiresAtWallMillis() < other.expiresAtWallMillis(), true);

	private static final RecordFollower.Kind<OriginEntry> ORIGINS = new RecordFollower.Kind<>("origins",
			OriginEntry::olderThan, true);

	private static final RecordFollower.Kind<RolloutOrder> ROLLOUT_ORDERS = new RecordFollower.Kind<>("orders",
			(one, other) -> false, false);

	private static final RecordFollower.Kind<RolloutProgress> ROLLOUTS = new RecordFollower.Kind<>("rollouts",
			RolloutProgress::olderThan, true);

	/** Long-poll wait of a read for new orders or progress, in milliseconds. */
	private static final long ROLLOUT_LONG_POLL_MILLIS = 4000;

	private static final long ROLLOUT_RELAY_LONG_POLL_MILLIS = 2000;

	private final NioReactor reactor;

	private final GatewayContext context;

	private final Platform platform;

	private final StoreEpoch storeEpoch;

	private final QuarantineService quarantineService;

	private final EndpointRegistry endpointRegistry = new EndpointRegistry();

	private final RecordFollower<RouteTable> configurationFollower;

	private final RecordFollower<EndpointEntry> endpointFollower;

	private final RecordFollower<HostRecord> directoryFollower;

	private final RecordFollower<QuarantineRecord> quarantineFollower;

	private final RecordFollower<OriginEntry> originFollower;

	private final RecordFollower<RolloutOrder> orderFollower;

	private final RecordFollower<RolloutProgress> rolloutFollower;

	/** Directory entry of this host; null until it is started. */
	private HostRecord ownRecord;

	GatewayRecords(NioReactor reactor, GatewayContext context, Platform platform, StoreEpoch storeEpoch,
			QuarantineService quarantineService) {
		this.reactor = reactor;
		this.context = context;
		this.platform = platform;
		this.storeEpoch = storeEpoch;
		this.quarantineService = quarantineService;
		this.configurationFollower = createFollower(
				CONFIGURATIONS, platform.configurations(), new RecordFollower.PollTiming(CONFIGURATION_LONG_POLL_MILLIS,
						CONFIGURATION_PAUSE_MILLIS, RELAYED_CONFIGURATION_PAUSE_MILLIS),
				RELAY_LONG_POLL_MILLIS, this::onConfiguration);
		this.endpointFollower = createFollower(ENDPOINTS, platform.endpoints(), new RecordFollower.PollTiming(0,
				(long) (context.bounds().drainMillis() * ENDPOINT_PAUSE_DRAIN_SHARE), RELAYED_ENDPOINT_PAUSE_MILLIS),
				RELAY_LONG_POLL_MILLIS, this::onEndpoints);
		this.directoryFollower = createFollower(HOSTS, platform.directory().records(),
				new RecordFollower.PollTiming(0, DIRECTORY_PAUSE_MILLIS, DIRECTORY_PAUSE_MILLIS), 0, this::onDirectory);
		this.quarantineFollower = createFollower(QUARANTINE_RULES, platform.quarantine().rules(),
				new RecordFollower.PollTiming(QUARANTINE_LONG_POLL_MILLIS, QUARANTINE_PAUSE_MILLIS,
						QUARANTINE_PAUSE_MILLIS),
				QUARANTINE_RELAY_LONG_POLL_MILLIS, this::onQuarantineRules);
		this.originFollower = createFollower(
				ORIGINS, platform.streamOrigins().origins(), new RecordFollower.PollTiming(QUARANTINE_LONG_POLL_MILLIS,
						QUARANTINE_PAUSE_MILLIS, QUARANTINE_PAUSE_MILLIS),
				QUARANTINE_RELAY_LONG_POLL_MILLIS, this::onOrigins);
		RecordFollower.PollTiming rolloutTiming = new RecordFollower.PollTiming(ROLLOUT_LONG_POLL_MILLIS,
				QUARANTINE_PAUSE_MILLIS, QUARANTINE_PAUSE_MILLIS);
		this.orderFollower = createFollower(ROLLOUT_ORDERS, platform.rollouts().orders(), rolloutTiming,
				ROLLOUT_RELAY_LONG_POLL_MILLIS, context.rollouts::onOrders);
		this.rolloutFollower = createFollower(ROLLOUTS, platform.rollouts().progress(), rolloutTiming,
				ROLLOUT_RELAY_LONG_POLL_MILLIS, context.rollouts::onProgress);
	}

	private <T> RecordFollower<T> createFollower(RecordFollower.Kind<T> kind, RecordSource<T> store,
			RecordFollower.PollTiming pollTiming, long relayLongPollMillis,
			Consumer<RecordFollower.Update<T>> onUpdate) {
		RecordRelay relay = this.context.peers.relay();
		return new RecordFollower<>(this.reactor, kind, relay.createSource(kind.name(), store, relayLongPollMillis),
				pollTiming, relay.createLog(kind), this.storeEpoch, this.context.log, onUpdate);
	}

	/**
	 * Starts to follow the records and publishes that of this host.
	 * @param record directory entry of this host
	 */
	void start(HostRecord record) {
		this.ownRecord = record;
		startFollower(CONFIGURATIONS, this.configurationFollower);
		startFollower(ENDPOINTS, this.endpointFollower);
		// Of hosts that start together, the one whose record is written last finds the
		// others, and announces itself to them. If all read the directory first, none is
		// known to another until the next read, and each owns the pools.
		this.context.startup.add(OWN_RECORD, this::publishFirst);
		startFollower(HOSTS, this.directoryFollower);
		startFollower(QUARANTINE_RULES, this.quarantineFollower);
		startFollower(ORIGINS, this.originFollower);
		if (this.context.rollouts.enabled()) {
			startFollower(ROLLOUT_ORDERS, this.orderFollower);
			startFollower(ROLLOUTS, this.rolloutFollower);
			this.context.rollouts.start(this.orderFollower::confirmNow);
		}
		this.context.startup.start(ESSENTIAL_READS);
	}

	private void startFollower(RecordFollower.Kind<?> kind, RecordFollower<?> follower) {
		Startup startup = this.context.startup;
		startup.add(kind.name(), () -> follower.start((successful) -> {
			if (successful) {
				startup.succeeded(kind.name());
			}
			else {
				startup.failed(kind.name());
			}
		}));
	}

	/**
	 * Confirms a configuration that has become old, and applies removals of endpoints
	 * that are due.
	 * @param now monotonic time in milliseconds
	 */
	void check(long now) {
		if (this.context.configurationAgeMillis() > this.context.bounds().revocationMillis()
				* CONFIRM_REVOCATION_SHARE) {
			this.configurationFollower.confirmNow();
		}
		this.endpointRegistry.applyDueRemovals(now);
		replaceEndpoints();
	}

	private void publishFirst() {
		if (this.context.stopping()) {
			return;
		}
		this.platform.directory().publish(this.ownRecord).whenResult(() -> {
			this.context.startup.succeeded(OWN_RECORD);
			// A slow or failed write lets the directory be read before its end.
			this.directoryFollower.readAgain();
		}).whenException((failure) -> {
			logUnpublished(failure);
			this.context.startup.failed(OWN_RECORD);
		});
	}

	private void logUnpublished(Exception failure) {
		this.context.log.write(LogEvent.STORE_LOST, "records", OWN_RECORD, "reason", failure.getMessage());
	}

	private void publishOwnRecord() {
		this.platform.directory().publish(this.ownRecord).whenException((failure) -> {
			logUnpublished(failure);
			if (!this.context.stopping()) {
				this.reactor.delayBackground(PUBLISH_RETRY_DELAY_MILLIS, this::publishOwnRecord);
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
				this.context.log.write(LogEvent.ROUTES_CHANGED, "version", routes.version(), "routes",
						routes.routeCount(), "keys_in_use", routes.keysInUse());
				updateSchedulers(routes, this.context.endpoints.get());
			}
		}
	}

	private void onEndpoints(RecordFollower.Update<EndpointEntry> update) {
		this.context.endpointsLoaded = true;
		long now = Clocks.monotonicMillis();
		if (update.restored() || update.outageMillis() > EndpointRegistry.MIN_OUTAGE_MILLIS) {
			this.endpointRegistry.deferRemovals(now);
		}
		this.endpointRegistry.update(update.entries(), now);
		this.context.endpointBackoffs.retain(this.endpointRegistry.table().byId().keySet(), now);
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
						"service", (current != null) ? current.service() : previous.service(), "version",
						(current != null) ? current.version() : previous.version());
			}
			if (current == null) {
				this.context.connections.closeIdle(previous.address());
			}
		}
		updateSchedulers(this.context.routes.get(), after);
	}

	private void updateSchedulers(RouteTable routes, EndpointTable endpoints) {
		this.context.rollouts.update(routes, endpoints);
		this.context.placements.updateConfiguration(routes, endpoints);
		this.context.streamOrigins.update(routes, endpoints);
	}

	private static String describeState(EndpointEntry entry) {
		if (entry == null) {
			return "gone";
		}
		return entry.leaving() ? "leaving" : "working";
	}

	private void onDirectory(RecordFollower.Update<HostRecord> update) {
		this.context.peers.updateDirectory(update.entries(), Clocks.monotonicMillis());
		if (update.restored() && !this.context.stopping()) {
			if (!this.directoryFollower.knows(this.ownRecord.host())) {
				publishOwnRecord();
			}
			writeAgain("hosts", update,
					(host, record) -> record.map((present) -> this.platform.directory().publish(present))
						.orElseGet(() -> this.platform.directory().remove(host)));
		}
	}

	// Writes records that a restore of the store has lost. Of all hosts that notice it
	// together the owner of the pools does so at once, the others only if the records are
	// still missing when the epoch has settled.
	private <T> void writeAgain(String kind, RecordFollower.Update<T> update,
			BiFunction<String, Optional<T>, Promise<Void>> write) {
		if (update.lost().isEmpty()
				|| !(update.settled() || this.context.peers.owner().equals(this.ownRecord.host()))) {
			return;
		}
		this.context.log.write(LogEvent.RECORDS_RESTORED, "records", kind, "names",
				String.join(",", update.lost().keySet()));
		update.lost()
			.forEach((name, record) -> write.apply(name, record)
				.whenException((failure) -> this.context.log.write(LogEvent.STORE_LOST, "records", kind, "reason",
						failure.getMessage())));
	}

	private void onQuarantineRules(RecordFollower.Update<QuarantineRecord> update) {
		this.context.quarantineLoaded = true;
		this.quarantineService.onRules(update.entries(), Clocks.monotonicMillis());
		writeAgain("quarantine", update,
				(name, rule) -> rule.map((present) -> this.platform.quarantine().publishRule(present))
					.orElseGet(() -> this.platform.quarantine().removeRule(name)));
	}

	private void onOrigins(RecordFollower.Update<OriginEntry> update) {
		this.context.streamOrigins.onOrigins(update);
		writeAgain("origins", update,
				(name, entry) -> entry
					.map((present) -> this.platform.streamOrigins().publishOrigins(List.of(present), List.of(), -1))
					.orElseGet(() -> Promise.of(null)));
	}

}
