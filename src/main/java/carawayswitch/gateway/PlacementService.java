package carawayswitch.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.backpressure.EngineBodyGate;
import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.CapUse;
import carawayswitch.message.CapUseReply;
import carawayswitch.message.Message;
import carawayswitch.message.OrganisationUse;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.message.PlaceStalled;
import carawayswitch.message.StreamsRecorded;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.PromptQuarantine;
import carawayswitch.schedule.StreamStats;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Obtains places at engines for the requests of this host, and runs this host's
 * {@link PoolOwner}. Sends place requests to the current pool owner, which may be this
 * host, and resends them when the owner changes. Request and response bodies do not pass
 * through the owner. Invariant: each placement gets one decision and is released once.
 * Confined to the event loop thread.
 */
final class PlacementService implements GatewayPeers.Listener, PlainServiceCrashes.Hosts, LocalPoolOwner.Listener,
		UndecidedPlacements.Listener {

	/**
	 * Most time in milliseconds by which another host may have been ready earlier when
	 * all hosts start for the first time.
	 */
	private static final long START_SPREAD_MILLIS = 3000;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final BoundReporter bodyBounds;

	private final LocalPoolOwner localPools;

	private final PlainServiceCrashes plainCrashes;

	private final CapUseReporter capUse;

	private final NamedLimits namedLimits = new NamedLimits();

	private final long startedAt = Clocks.monotonicMillis();

	private final Map<String, Placement> placements = new LinkedHashMap<>();

	private final UndecidedPlacements undecided;

	private String owner = "";

	private GatewayPeers peers;

	private StreamOrigins streams;

	private RolloutService rollouts;

	PlacementService(NioReactor reactor, BoundReporter bodyBounds, GatewaySettings settings,
			PromptQuarantine quarantine) {
		this.log = bodyBounds.log();
		this.bodyBounds = bodyBounds;
		GatewaySettings.Bounds bounds = settings.bounds();
		long unusedBefore = settings.firstStart() ? this.startedAt - START_SPREAD_MILLIS : Long.MIN_VALUE;
		this.localPools = new LocalPoolOwner(
				reactor, this.log, new PoolOwner(bounds, quarantine,
						new EngineBodyGate(settings.pressure().endpointBodyBytes()), unusedBefore, this.startedAt),
				quarantine, bounds.capWindowMillis(), this);
		this.undecided = new UndecidedPlacements(reactor, this.placements.values(), this.localPools, this);
		zoneTraffic(settings.zoneTraffic());
		this.plainCrashes = new PlainServiceCrashes(reactor, this.log, quarantine, this);
		this.capUse = new CapUseReporter(reactor, bounds, this.startedAt, this::reportCapUse);
		this.reactor = reactor;
	}

	void start(GatewayPeers gatewayPeers, StreamOrigins streamOrigins, RolloutService rolloutService,
			CapUseStore capUseStore) {
		this.rollouts = rolloutService;
		this.peers = gatewayPeers;
		this.streams = streamOrigins;
		this.owner = gatewayPeers.owner();
		this.localPools.start(gatewayPeers, streamOrigins, this.plainCrashes, capUseStore);
	}

	void updateConfiguration(RouteTable routes, EndpointTable endpoints) {
		this.localPools.owner().updateConfiguration(routes, endpoints, Clocks.monotonicMillis());
		this.namedLimits.retain(endpoints.byId().keySet());
		this.localPools.scheduleDecision();
	}

	void versionGate(VersionGate gate) {
		this.localPools.owner().versionGate(gate, Clocks.monotonicMillis());
		this.localPools.scheduleDecision();
	}

	/**
	 * Replaces the settings of the traffic between zones.
	 * @param settings price and time of the path, or null if a constant cost is in force
	 */
	void zoneTraffic(ZoneTrafficSettings settings) {
		this.localPools.owner().zoneTraffic(settings, Clocks.monotonicMillis());
	}

	/**
	 * Requests a place at an engine.
	 * @param request the place request
	 * @param listener receives the decision
	 * @param now monotonic time in milliseconds
	 * @return the placement, to be ended by {@link #release} or {@link #withdraw}
	 */
	Placement requestPlace(PlaceRequest request, Placement.Listener listener, long now) {
		Placement placement = new Placement(request, listener, now);
		this.placements.put(placement.id(), placement);
		this.undecided.onRequested();
		sendRequest(placement, now);
		this.undecided.scheduleIfPending();
		return placement;
	}

	private void sendRequest(Placement placement, long now) {
		PlaceRequest request = placement.request(now);
		if (!ownsPools()) {
			this.peers.send(this.owner, request);
			return;
		}
		PlaceReply reply = this.localPools.owner().requestPlace(this.owner, request, now);
		if (reply != null) {
			this.reactor.post(() -> onReply(this.peers.selfId(), reply));
		}
		this.localPools.scheduleDecision();
	}

	@Override
	public void resend(Placement placement, long now) {
		sendRequest(placement, now);
	}

	@Override
	public void onNoDecision(Placement placement) {
		withdraw(placement);
		placement.listener().onRejected(ErrorKind.NO_PLACE, UndecidedPlacements.DECISION_GRACE_MILLIS, "no_decision");
	}

	@Override
	public void onDecision(PoolOwner.Decision decision) {
		if (decision.host().equals(this.peers.selfId())) {
			onReply(decision.host(), decision.reply());
		}
		else {
			this.peers.reply(decision.host(), decision.reply());
		}
	}

	@Override
	public void onDecided() {
		this.localPools.owner()
			.takeBodyDeferrals()
			.forEach((deferral) -> this.bodyBounds.report("engine_bodies", LogEvent.ENDPOINT_BODIES_FULL, "request",
					deferral.request(), "endpoint", deferral.engine(), "body_bytes", deferral.bytes(), "held_bytes",
					deferral.heldBytes()));
		this.undecided.scheduleIfPending();
	}

	private void onReply(String from, PlaceReply reply) {
		Placement placement = this.placements.get(reply.requestId());
		boolean awaited = placement != null && placement.pending() && this.owner.equals(from);
		if (!awaited) {
			// The request was withdrawn or moved to another owner. The replying owner has
			// been notified, so its decision is ignored.
			return;
		}
		this.log.write(LogEvent.PLACE_DECIDED, "request", reply.requestId(), "owner", from, "endpoint",
				reply.endpoint(), "reason", reply.reason(), "over_cap", reply.overCap(), "retry_after_ms",
				reply.retryAfterMillis());
		if (reply.endpoint().isEmpty()) {
			this.placements.remove(reply.requestId());
			placement.listener().onRejected(Placement.rejectionKind(reply), reply.retryAfterMillis(), reply.reason());
		}
		else {
			if (placement.capUnits() > 0) {
				this.capUse.record(placement.organisation(), placement.capUnits(), Clocks.monotonicMillis());
			}
			placement.grant(reply.endpoint());
			placement.listener().onGranted(reply.endpoint());
		}
	}

	/**
	 * Charges an organisation's cap for a request that needs no place. The charge is
	 * local and reported to the owner afterwards.
	 * @param organisation name of the organisation
	 * @param units number of cap units
	 * @param now monotonic time in milliseconds
	 * @return 0 if the request may run, or the time in milliseconds after which to retry
	 */
	long takeCapUnits(String organisation, int units, long now) {
		return this.capUse.take(organisation, units, this.peers.largestFleetSize(), now);
	}

	private void reportCapUse(List<OrganisationUse> uses) {
		if (ownsPools()) {
			long now = Clocks.monotonicMillis();
			this.capUse.onAcknowledged(this.localPools.owner().caps().charge(this.owner, uses, now), now);
		}
		else {
			this.peers.send(this.owner, new CapUse(uses));
		}
	}

	/**
	 * Reports the first event of a response to the owner, once for each placement.
	 * @param placement the placement
	 * @param millis time from dispatch to the event in milliseconds
	 */
	void firstEvent(Placement placement, long millis) {
		if (placement.markFirstEvent()) {
			sendToOwner(new PlaceBegun(placement.id(), placement.service(), millis));
		}
	}

	/**
	 * Records the limit that the engine has named in the head of a response.
	 * @param placement the placement
	 * @param requestsPerSecond requests per second that the engine takes from all hosts
	 * together, or 0 if it names no limit
	 */
	void onHead(Placement placement, double requestsPerSecond) {
		this.namedLimits.onHead(placement, requestsPerSecond).ifPresent(this::sendToOwner);
	}

	/**
	 * Reports to the owner that a response has stalled or goes on.
	 * @param placement the placement
	 * @param stalled true if the response stalled, false if it goes on
	 */
	void stalled(Placement placement, boolean stalled) {
		sendToOwner(new PlaceStalled(placement.id(), placement.service(), stalled));
	}

	/**
	 * Releases a place after its attempt has ended.
	 * @param placement the placement
	 * @param result result of the attempt
	 * @param stats length and timing of its stream
	 * @param disconnected true if the engine closed the connection before the answer was
	 * complete
	 */
	void release(Placement placement, AttemptResult result, StreamStats stats, boolean disconnected) {
		if (this.placements.remove(placement.id()) != null) {
			sendToOwner(new PlaceEnded(placement.id(), placement.service(), result.name(), stats.outputTokens(),
					stats.streamMillis(), stats.longestPauseMillis(), disconnected));
		}
	}

	/**
	 * Withdraws a pending place request, or releases a granted place that was not used.
	 * @param placement the placement
	 */
	void withdraw(Placement placement) {
		if (this.placements.remove(placement.id()) != null) {
			sendToOwner(new PlaceEnded(placement.id(), placement.service(), "", 0, 0, 0, false));
		}
	}

	PlainServiceCrashes plainCrashes() {
		return this.plainCrashes;
	}

	@Override
	public boolean ownsPools() {
		return this.owner.equals(this.peers.selfId());
	}

	@Override
	public void sendToOwner(Message message) {
		if (ownsPools()) {
			this.localPools.onMessage(this.owner, message, Clocks.monotonicMillis());
		}
		else {
			this.peers.send(this.owner, message);
		}
	}

	@Override
	public void sendToAll(Message message) {
		otherHosts().forEach((host) -> this.peers.send(host, message));
	}

	@Override
	public void send(String host, Message message) {
		this.peers.send(host, message);
	}

	private List<String> otherHosts() {
		return this.peers.liveHosts().stream().filter((host) -> !host.equals(this.peers.selfId())).toList();
	}

	@Override
	public void onMessage(String peer, Message message, long now) {
		if (message instanceof PlaceReply reply) {
			onReply(peer, reply);
		}
		else if (message instanceof CapUseReply reply) {
			this.capUse.onAcknowledged(reply.states(), now);
		}
		else if (message instanceof StreamsRecorded recorded) {
			this.streams.onRecorded(recorded);
		}
		else if (message instanceof CapUse use) {
			this.peers.reply(peer, new CapUseReply(this.localPools.owner().caps().charge(peer, use.uses(), now)));
		}
		else if (!this.rollouts.onMessage(peer, message, now)) {
			this.localPools.onMessage(peer, message, now);
		}
	}

	@Override
	public void onAttemptCount(String host, long total) {
		this.plainCrashes.onAttemptCount(host, total);
	}

	@Override
	public long attemptCount() {
		return this.plainCrashes.attemptCount();
	}

	@Override
	public void onViewChanged(List<String> lost) {
		long now = Clocks.monotonicMillis();
		lost.forEach((host) -> this.localPools.owner().onHostLost(host, now));
		String previousOwner = this.owner;
		this.owner = this.peers.owner();
		if (!this.owner.equals(previousOwner) || lost.contains(this.owner)) {
			this.log.write(LogEvent.POOL_OWNER_CHANGED, "before", previousOwner, "after", this.owner, "waiting_here",
					waitingCount(), "running_here", runningCount());
			if (ownsPools()) {
				this.localPools.begin(now);
			}
			else {
				this.localPools.resign(this::sendToOwner, previousOwner.equals(this.peers.selfId()), now);
			}
			this.plainCrashes.onOwnerChanged();
			this.streams.onOwnerChanged();
			reportToNewOwner(now);
		}
		this.plainCrashes.onViewChanged(otherHosts(), lost);
		this.localPools.onViewChanged(lost, now);
	}

	private void reportToNewOwner(long now) {
		OwnerReport.messages(this.placements.values(), this.namedLimits.all(), this.capUse.history(now), now)
			.forEach(this::sendToOwner);
		this.placements.values()
			.stream()
			.filter(Placement::pending)
			.toList()
			.forEach((placement) -> sendRequest(placement, now));
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.placements.isEmpty() ? Set.of() : Set.of(this.owner);
	}

	int waitingCount() {
		return this.localPools.owner().waitingCount();
	}

	int runningCount() {
		return this.localPools.owner().runningCount();
	}

}
