package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

import carawayswitch.backpressure.EngineBodyGate;
import carawayswitch.config.PressurePolicy;
import carawayswitch.message.EndpointLimit;
import carawayswitch.message.EngineReplaced;
import carawayswitch.message.HeldPlace;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.message.PlaceStalled;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.CrashAttribution;
import carawayswitch.schedule.EligibleVersions;
import carawayswitch.schedule.PoolDecision;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolPriority;
import carawayswitch.schedule.PoolRequest;
import carawayswitch.schedule.PoolScheduler;
import carawayswitch.schedule.PromptQuarantine;
import carawayswitch.schedule.StreamStats;
import carawayswitch.schedule.Work;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Central scheduler of the engine pools: grants places and enforces the caps of
 * organisations for all hosts. All state is soft: hosts report their running requests and
 * cap use to a new owner. Does no I/O. Not safe for use by several threads. Times are
 * monotonic milliseconds.
 */
final class PoolOwner {

	/**
	 * Largest number of requests that waited for memory of an engine and are offered
	 * again in one scheduling pass. They are offered one by one, since a grant takes
	 * room.
	 */
	private static final int MAX_OFFERED_AGAIN = 8;

	/** Retry time in milliseconds sent to a request whose body no engine had room for. */
	private static final long NO_ROOM_RETRY_MILLIS = 500;

	private final PromptQuarantine quarantine;

	private final CrashAttribution crashAttribution;

	private final EngineBodyGate bodies;

	private final OrganisationCaps caps;

	private final Map<String, String> serviceByRequest = new HashMap<>();

	private final VersionedPlaces places = new VersionedPlaces();

	private final EnginePools pools = new EnginePools(this.places);

	/** Versions at which a new stream may begin, by route and service. */
	private BiFunction<String, String, Set<String>> beginVersions = (route, service) -> Set.of();

	/**
	 * Creates an owner without configuration or requests.
	 * @param bounds bounds of the deployment
	 * @param quarantine quarantine rules of this host
	 * @param unusedBefore monotonic time in milliseconds before which no host has run, or
	 * {@code Long.MIN_VALUE} if it is unknown
	 * @param now monotonic time in milliseconds
	 */
	PoolOwner(GatewaySettings.Bounds bounds, PromptQuarantine quarantine, long unusedBefore, long now) {
		this(bounds, quarantine, new EngineBodyGate(Long.MAX_VALUE), unusedBefore, now);
	}

	/**
	 * Creates an owner without configuration or requests.
	 * @param bounds bounds of the deployment
	 * @param quarantine quarantine rules of this host
	 * @param bodies bound on the request bodies that one engine holds
	 * @param unusedBefore monotonic time in milliseconds before which no host has run, or
	 * {@code Long.MIN_VALUE} if it is unknown
	 * @param now monotonic time in milliseconds
	 */
	PoolOwner(GatewaySettings.Bounds bounds, PromptQuarantine quarantine, EngineBodyGate bodies, long unusedBefore,
			long now) {
		this.caps = new OrganisationCaps(bounds, unusedBefore, now);
		this.bodies = bodies;
		this.quarantine = quarantine;
		this.crashAttribution = new CrashAttribution(quarantine);
	}

	/**
	 * Replaces the configuration and the endpoint table.
	 * @param newRoutes the configuration, or null if none is known
	 * @param newEndpoints the endpoints
	 * @param now monotonic time in milliseconds
	 */
	void updateConfiguration(RouteTable newRoutes, EndpointTable newEndpoints, long now) {
		this.pools.updateConfiguration(newRoutes, newEndpoints, now);
		this.caps.updateConfiguration(newRoutes, now);
	}

	/**
	 * Replaces the settings of the traffic between zones.
	 * @param settings price and time of the path, or null if a constant cost is in force
	 * @param now monotonic time in milliseconds
	 */
	void zoneTraffic(ZoneTrafficSettings settings, long now) {
		this.pools.zoneTraffic(settings, now);
	}

	PoolZoneTraffic zoneTraffic() {
		return this.pools.zoneTraffic();
	}

	/**
	 * Replaces the versions at which requests may begin. Waiting requests for versions at
	 * which none may begin any more are offered anew, in their turn by arrival.
	 * @param gate the versions
	 * @param now monotonic time in milliseconds
	 */
	void versionGate(VersionGate gate, long now) {
		this.places.gate(gate);
		this.pools.refresh(now);
		for (VersionedPlaces.Waiting entry : this.places.outdated(now)) {
			PlaceRequest request = entry.request();
			scheduler(request.service(), now).withdraw(request.requestId());
			this.bodies.onEnded(request.requestId());
			this.bodies.expect(request.requestId(), request.bodyBytes(), request.backedOff());
			offer(request.service(), register(entry.host(), request, entry.offeredAt(), now), now);
		}
	}

	// Chooses the versions at which a request may begin.
	private PoolRequest register(String host, PlaceRequest request, long arrivedAt, long now) {
		if (this.places.onResumed(request, now)) {
			this.pools.refresh(now);
		}
		PoolRequest poolRequest = toPoolRequest(host, request, arrivedAt, now);
		this.places.onOffered(host, request, poolRequest.versions(), arrivedAt);
		return poolRequest;
	}

	private PoolScheduler scheduler(String service, long now) {
		return this.pools.scheduler(service, now);
	}

	/**
	 * Enqueues a place request. The decision is returned by {@link #decide}, unless the
	 * organisation exceeds its cap or the request was granted before. A repeated request
	 * is not charged again.
	 * @param host id of the requesting host
	 * @param request the place request
	 * @param now monotonic time in milliseconds
	 * @return the decision, or null if it is still to be made
	 */
	PlaceReply requestPlace(String host, PlaceRequest request, long now) {
		this.pools.restoreReplaced(now);
		PoolScheduler scheduler = scheduler(request.service(), now);
		if (scheduler.waits(request.requestId())) {
			// A repeat would be registered for other versions than it waits for.
			return null;
		}
		String engine = scheduler.engineOf(request.requestId());
		if (engine != null) {
			return new PlaceReply(request.requestId(), engine, 0, false, "granted_before", false);
		}
		this.crashAttribution.judge(now);
		long quarantinedMillis = this.quarantine.rejectedMillis(request.sharedSegments(), now);
		if (quarantinedMillis > 0) {
			return quarantined(request.requestId(), quarantinedMillis);
		}
		boolean alreadyCharged = this.serviceByRequest.containsKey(request.requestId());
		PlaceReply rejection = alreadyCharged ? null : this.caps.charge(host, request,
				() -> scheduler(request.service(), now).saturated(level(request), now), now);
		if (rejection != null) {
			return rejection;
		}
		this.serviceByRequest.put(request.requestId(), request.service());
		if (!this.bodies.waits(request.requestId())) {
			this.bodies.expect(request.requestId(), request.bodyBytes(), request.backedOff());
			PoolRequest poolRequest = register(host, request, now, now);
			zoneTraffic().onOffered(request.service(), poolRequest, now);
			offer(request.service(), poolRequest, now);
		}
		return null;
	}

	private void offer(String service, PoolRequest request, long now) {
		scheduler(service, now).offer(this.bodies.excludeFull(request, eligibleEngines(service, request, now)), now);
	}

	private List<String> eligibleEngines(String service, PoolRequest request, long now) {
		return this.pools.engines(service, now)
			.stream()
			.filter((engine) -> request.versions().contains(engine.version()))
			.map(PoolEngine::id)
			.toList();
	}

	private static PlaceReply quarantined(String id, long millis) {
		return new PlaceReply(id, "", millis, false, "prompt_quarantined", true);
	}

	/**
	 * Sets the share of the caps and of the limits and bounds of engines that this owner
	 * may grant.
	 * @param newShare share of the known hosts that this one reaches, above 0 and up to 1
	 * @param now monotonic time in milliseconds
	 */
	void ownerShare(double newShare, long now) {
		this.bodies.share(newShare);
		this.pools.ownerShare(newShare, now);
		this.caps.ownerShare(newShare, now);
	}

	void beginVersions(BiFunction<String, String, Set<String>> versions) {
		this.beginVersions = versions;
	}

	private EligibleVersions eligibleVersions(PlaceRequest request, long now) {
		if (!request.version().isEmpty()) {
			return EligibleVersions.of(Set.of(request.version()));
		}
		return this.places.eligible(request,
				request.begins() ? this.beginVersions.apply(request.kind(), request.service()) : null, now);
	}

	private static int level(PlaceRequest request) {
		return new PoolPriority(request.urgency(), request.routeUrgency()).level();
	}

	private PoolRequest toPoolRequest(String host, PlaceRequest request, long arrivedAt, long now) {
		Work work = new Work(request.requestId(), level(request), request.kind(), 1, request.organisation(), 1,
				PressurePolicy.WAIT, request.promptTokens(), 0, 0, request.outputTokens(), 0, arrivedAt,
				arrivedAt + request.patienceMillis());
		return new PoolRequest(work, host, request.zone(), arrivedAt + request.objectiveMillis(),
				new HashSet<>(request.excluded()), arrivedAt + request.clientMillis(), request.returnKey(),
				request.resumed(), request.gapMillis(), eligibleVersions(request, now), request.sharedSegments());
	}

	/**
	 * Runs one scheduling pass over all pools.
	 * @param now monotonic time in milliseconds
	 * @return new grants and rejections with the requesting hosts
	 */
	List<Decision> decide(long now) {
		this.pools.restoreReplaced(now);
		List<Decision> decisions = new ArrayList<>();
		this.bodies.takeExpired(now)
			.forEach((request) -> decisions.add(new Decision(request.host(), rejectForBody(request.id(), now))));
		decideAll(now, decisions);
		if (this.bodies.offersDue(now)) {
			offerWaitingBodies(now, decisions);
		}
		return decisions;
	}

	private void offerWaitingBodies(long now, List<Decision> decisions) {
		Set<String> offered = new HashSet<>();
		PoolRequest next = nextWithRoom(offered, now);
		while (next != null) {
			offered.add(next.id());
			offer(this.serviceByRequest.get(next.id()), next, now);
			decideAll(now, decisions);
			next = nextWithRoom(offered, now);
		}
	}

	private PoolRequest nextWithRoom(Set<String> offered, long now) {
		return (offered.size() < MAX_OFFERED_AGAIN)
				? this.bodies.takeNext(
						(request) -> eligibleEngines(this.serviceByRequest.get(request.id()), request, now), offered)
				: null;
	}

	private void decideAll(long now, List<Decision> decisions) {
		this.pools.forEach((service, scheduler) -> scheduler.decide(now).forEach((decision) -> {
			PoolRequest request = decision.request();
			if (decision.granted() && !this.bodies.grant(request, decision.engine())) {
				scheduler.takeBack(request, now);
			}
			else {
				decisions.add(new Decision(request.host(), complete(service, scheduler, decision, now)));
			}
		}));
	}

	private PlaceReply rejectForBody(String id, long now) {
		onRequestLost(id, now);
		return new PlaceReply(id, "", NO_ROOM_RETRY_MILLIS, false, "no_room_for_body", false);
	}

	// Creates the reply to a decided request. A place for a prompt that was quarantined
	// while the request waited is given back.
	private PlaceReply complete(String service, PoolScheduler scheduler, PoolDecision decision, long now) {
		PoolRequest request = decision.request();
		long quarantinedMillis = this.quarantine.rejectedMillis(request.sharedSegments(), now);
		if (decision.granted() && quarantinedMillis > 0) {
			scheduler.withdraw(request.id());
		}
		boolean granted = decision.granted() && quarantinedMillis <= 0;
		if (granted) {
			this.crashAttribution.onDispatched(request.id(), service, this.pools.start(decision.engine()),
					request.sharedSegments(), now);
			zoneTraffic().onDispatched(service, request.id(), this.pools.zone(decision.engine()), now);
		}
		else {
			zoneTraffic().onEnded(service, request.id(), false, now);
			this.serviceByRequest.remove(request.id());
			this.bodies.onEnded(request.id());
			this.caps.refund(request.id(), now);
		}
		this.caps.settle(request.id());
		if (granted) {
			this.places.onDecided(request.id());
		}
		else {
			this.places.onEnded(request.id());
		}
		if (quarantinedMillis > 0) {
			return quarantined(request.id(), quarantinedMillis);
		}
		return new PlaceReply(request.id(), granted ? decision.engine() : "", decision.retryAfterMillis(), false,
				decision.reason(), false);
	}

	void onFirstEvent(PlaceBegun message, long now) {
		scheduler(message.service(), now).onFirstEvent(message.requestId(), message.millis());
		this.crashAttribution.onFirstEvent(message.requestId(), now);
	}

	void onLimitNamed(EndpointLimit message, long now) {
		this.pools.onLimitNamed(message, now);
	}

	void onReplaced(EngineReplaced message, long now) {
		this.pools.onReplaced(message, now);
	}

	void onStalled(PlaceStalled message, long now) {
		scheduler(message.service(), now).onStalled(message.requestId(), message.stalled(), now);
	}

	void onEnded(PlaceEnded message, long now) {
		PoolScheduler scheduler = scheduler(message.service(), now);
		// An empty result marks a withdrawn request or an unused place.
		if (message.result().isEmpty()) {
			scheduler.withdraw(message.requestId());
			this.caps.refund(message.requestId(), now);
			this.crashAttribution.withdraw(message.requestId());
		}
		else {
			AttemptResult result = AttemptResult.valueOf(message.result());
			String engine = scheduler.engineOf(message.requestId());
			// An engine that is leaving closes connections without a crash.
			boolean crashed = message.disconnected() && engine != null && this.pools.accepting(engine);
			scheduler.onEnded(message.requestId(), result,
					new StreamStats(message.tokens(), message.streamMillis(), message.longestPauseMillis()), now);
			this.crashAttribution.onEnded(message.requestId(), result, crashed, message.streamMillis(), now);
		}
		zoneTraffic().onEnded(message.service(), message.requestId(),
				AttemptResult.ANSWERED.name().equals(message.result()), now);
		this.serviceByRequest.remove(message.requestId());
		this.bodies.onEnded(message.requestId());
		this.places.onEnded(message.requestId());
		this.caps.settle(message.requestId());
	}

	void adopt(String host, String service, List<HeldPlace> places, long now) {
		for (HeldPlace place : places) {
			this.pools.adopt(service, toPoolRequest(host, place.request(), now, now), place.endpoint(), now);
			this.serviceByRequest.put(place.request().requestId(), service);
			this.bodies.adopt(place.request().requestId(), place.endpoint(), place.request().bodyBytes());
			this.crashAttribution.adopt(place.request().requestId(), service, this.pools.start(place.endpoint()),
					place.request().sharedSegments());
		}
	}

	/**
	 * Removes all requests and charged totals of a lost host.
	 * @param host id of the host
	 * @param now monotonic time in milliseconds
	 */
	void onHostLost(String host, long now) {
		this.caps.onHostLost(host, now);
		this.pools.forEach((service, scheduler) -> scheduler.removeHost(host).forEach((id) -> onRequestLost(id, now)));
		this.bodies.removeWaitingOf(host).forEach((id) -> onRequestLost(id, now));
	}

	private void onRequestLost(String id, long now) {
		String service = this.serviceByRequest.remove(id);
		if (service != null) {
			scheduler(service, now).withdraw(id);
			zoneTraffic().onEnded(service, id, false, now);
		}
		this.places.onEnded(id);
		this.bodies.onEnded(id);
		this.caps.refund(id, now);
		this.crashAttribution.withdraw(id);
	}

	/**
	 * Returns the caps of the organisations.
	 * @return the caps
	 */
	OrganisationCaps caps() {
		return this.caps;
	}

	/**
	 * Returns the evidence against prompts that this owner has collected.
	 * @return the evidence
	 */
	CrashAttribution crashAttribution() {
		return this.crashAttribution;
	}

	/**
	 * Takes ownership of the pools. Resets the caps, since use under the previous owner
	 * is unknown until the hosts report it.
	 * @param now monotonic time in milliseconds
	 */
	void becomeOwner(long now) {
		this.caps.becomeOwner(now);
	}

	/**
	 * Gives up ownership: clears all requests and caps, since another host decides now.
	 */
	void resign() {
		this.pools.clear();
		this.caps.clear();
		this.serviceByRequest.clear();
		this.bodies.clear();
		this.places.clear();
		this.crashAttribution.reset();
	}

	/**
	 * Takes the requests that were put off since the last call, for the log.
	 * @return the requests
	 */
	List<EngineBodyGate.Deferral> takeBodyDeferrals() {
		return this.bodies.takeDeferrals();
	}

	int waitingCount() {
		return this.bodies.waitingCount() + this.pools.waitingCount();
	}

	int runningCount() {
		return this.pools.runningCount();
	}

	/**
	 * Decision on a place request, with the host to notify. Immutable.
	 *
	 * @param host id of the requesting host
	 * @param reply the decision
	 */
	record Decision(String host, PlaceReply reply) {

	}

}
