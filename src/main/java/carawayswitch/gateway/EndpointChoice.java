package carawayswitch.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import carawayswitch.message.PlaceRequest;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.Route;
import carawayswitch.route.ServicePolicy;
import carawayswitch.schedule.EndpointBackoffs;
import carawayswitch.schedule.RetryPause;

/**
 * Which endpoints may run one request: those of its service, of the version that has
 * begun its stream, that have not asked for no more requests, and rather those that were
 * not tried yet. Confined to the event loop thread.
 */
final class EndpointChoice {

	/** Share of the estimated client wait that a request may wait for a place. */
	private static final double PLACE_WAIT_SHARE = 0.7;

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final String service;

	private final ServicePolicy policy;

	private final Set<String> tried = new HashSet<>();

	/** Decides at which version the request begins while one is rolled out. */
	private final double draw;

	/** Version that has begun the stream; empty if any may run the request. */
	private String version;

	EndpointChoice(GatewayContext context, AdmittedRequest admitted, String service, String version) {
		this.context = context;
		this.admitted = admitted;
		this.service = service;
		this.version = "";
		if (!version.isEmpty()) {
			bindVersion(version);
		}
		this.draw = context.random.nextDouble();
		this.policy = context.routes.get().service(service).orElse(null);
	}

	private Route route() {
		return this.admitted.route();
	}

	boolean needsPlace() {
		return this.policy != null && this.policy.engine() && this.admitted.metadata().tokenCountsPresent();
	}

	int tokensPerEvent() {
		return this.policy.tokensPerEvent();
	}

	boolean beginsStream() {
		return route().resumesStreams() && this.version.isEmpty();
	}

	void bindVersion(String beginningVersion) {
		if (this.version.isEmpty() && !beginningVersion.isEmpty()) {
			this.context.rollouts.onStreamBound(this.service, beginningVersion);
		}
		this.version = beginningVersion;
	}

	/** Ends the binding of the stream, since its request has ended. Called once. */
	void onRequestEnded() {
		if (!this.version.isEmpty()) {
			this.context.rollouts.onBoundStreamEnded(this.service, this.version);
		}
	}

	/**
	 * Returns the endpoints that may run the request. The owner of the pools knows at
	 * which engines a stream may begin.
	 * @param now monotonic time in milliseconds
	 * @return ids of the endpoints
	 */
	List<String> candidates(long now) {
		List<EndpointEntry> candidates = registered().stream()
			.filter((endpoint) -> this.context.endpointBackoffs.waitMillis(endpoint, now) == 0)
			.filter((endpoint) -> needsPlace() || !beginsStream() || mayBegin(endpoint))
			.toList();
		return (needsPlace() ? candidates : ofRollout(candidates, now)).stream().map(EndpointEntry::id).toList();
	}

	// Keeps the endpoints at which the request may begin while versions are rolled out.
	// The owner of the pools decides on it for engines.
	private List<EndpointEntry> ofRollout(List<EndpointEntry> candidates, long now) {
		VersionGate gate = this.context.versionGate.get();
		if (gate.open(this.service) || !this.version.isEmpty()) {
			return candidates;
		}
		List<EndpointEntry> exposed = ExposedEndpoints.of(this.service, candidates, gate, Set.of(), now);
		Set<String> serving = exposed.stream().map(EndpointEntry::version).collect(Collectors.toSet());
		Set<String> versions = gate.beginVersions(this.service, serving, this.draw, !this.tried.isEmpty(), now);
		return exposed.stream().filter((endpoint) -> versions.contains(endpoint.version())).toList();
	}

	private List<EndpointEntry> registered() {
		return this.context.endpoints.get().accepting(this.service, this.version);
	}

	/**
	 * Returns the time after which a client may find an endpoint if there is none now.
	 * @param now monotonic time in milliseconds
	 * @return time in milliseconds
	 */
	long retryAfterMillis(long now) {
		return registered().stream()
			.mapToLong((endpoint) -> this.context.endpointBackoffs.waitMillis(endpoint, now))
			.filter((wait) -> wait > 0 && wait < EndpointBackoffs.FOR_GOOD)
			.min()
			.orElse(Dispatcher.NO_ENDPOINT_RETRY_MILLIS);
	}

	private List<String> backedOff(long now) {
		return registered().stream()
			.filter((endpoint) -> this.context.endpointBackoffs.waitMillis(endpoint, now) > 0)
			.map(EndpointEntry::id)
			.toList();
	}

	private boolean mayBegin(EndpointEntry endpoint) {
		return this.context.streamOrigins.beginVersions(route().name(), this.service).contains(endpoint.version());
	}

	/**
	 * Returns the time until the limit of some endpoint permits the request. The owner of
	 * the pools keeps the limits of engines.
	 * @param now monotonic time in milliseconds
	 * @return time in milliseconds, or 0 if it is permitted now
	 */
	long limitWaitMillis(long now) {
		return needsPlace() ? 0 : this.context.balancer(this.service)
			.waitMillis(candidatesWithRoom(now), this.context.peers.largestFleetSize(), now);
	}

	/**
	 * Chooses an endpoint of a plain service.
	 * @param attempt name of the attempt
	 * @param now monotonic time in milliseconds
	 * @return id of the endpoint, or null if there is none
	 */
	String choose(String attempt, long now) {
		List<String> candidates = candidatesWithRoom(now);
		return this.context.balancer(this.service)
			.choose(candidates, this.context.zoneTraffic.preferred(this.service, candidates, attempt,
					this.admitted.request().body().length, now), this.tried, attempt, this.context.random, now);
	}

	private List<String> candidatesWithRoom(long now) {
		List<String> candidates = candidates(now);
		return this.context.pressure.inForce() ? this.context.plainBodies.open(candidates, this.service,
				this.admitted.urgency(), this.admitted.bodyBytes(), this.context.peers.largestFleetSize()) : candidates;
	}

	/**
	 * Returns whether the body is larger than this host's part of the bound.
	 * @return true if it is sent only to an endpoint without bodies of this host
	 */
	boolean bodyExceedsPart() {
		return this.context.plainBodies.exceedsPart(this.admitted.bodyBytes(), this.context.peers.largestFleetSize());
	}

	/**
	 * Returns whether some endpoint of a plain service has room for the body of the
	 * request and no more urgent request waits for it.
	 * @param now monotonic time in milliseconds
	 * @return true if the request may be sent now, or if it has no endpoint at all
	 */
	boolean bodyFits(long now) {
		return !this.context.pressure.inForce() || this.admitted.bodyBytes() == 0 || candidates(now).isEmpty()
				|| !this.context.plainBodies.moreUrgentWaits(this.service, this.admitted.urgency())
						&& !candidatesWithRoom(now).isEmpty();
	}

	long heldBodyBytes(long now) {
		return candidates(now).stream().mapToLong(this.context.plainBodies::heldBytes).min().orElse(0);
	}

	/**
	 * Returns the pause before the request is sent again after it was rejected. The owner
	 * of the pools makes requests for engines wait.
	 * @param now monotonic time in milliseconds
	 * @return the pause in milliseconds, 0 for none
	 */
	long retryPauseMillis(long now) {
		return needsPlace() ? 0 : RetryPause.millis(!this.tried.containsAll(candidates(now)), route().objectiveMillis(),
				this.context.random);
	}

	void onTried(String endpointId) {
		this.tried.add(endpointId);
	}

	/**
	 * Returns an endpoint if it still accepts the request.
	 * @param endpointId id of the endpoint, or null for none
	 * @param now monotonic time in milliseconds
	 * @return the endpoint, or null
	 */
	EndpointEntry accepting(String endpointId, long now) {
		EndpointEntry endpoint = (endpointId != null) ? this.context.endpoints.get().acceptingById(endpointId) : null;
		boolean otherVersion = endpoint != null && !this.version.isEmpty() && !this.version.equals(endpoint.version());
		boolean backedOff = endpoint != null && this.context.endpointBackoffs.waitMillis(endpoint, now) > 0;
		boolean closed = endpoint != null && this.version.isEmpty()
				&& this.context.versionGate.get().closed(this.service, endpoint.version(), now);
		return (otherVersion || backedOff || closed) ? null : endpoint;
	}

	// Time for which the client's patience leaves room to wait for a place.
	private long placeWaitMillis(ClientResponse response, long now) {
		return (long) (StreamProgress.clientWaitMillis(route()) * PLACE_WAIT_SHARE) - (now - response.lastEventAt());
	}

	/**
	 * Returns whether an endpoint may still take the request over from a silent one. If
	 * it is too late for that, the client may have left before the request arrives there.
	 * @param response the response so far
	 * @param now monotonic time in milliseconds
	 * @return true if there is time left
	 */
	boolean mayReplaceSilent(ClientResponse response, long now) {
		return !needsPlace() || placeWaitMillis(response, now) > 0;
	}

	/**
	 * Creates the request for a place at an engine.
	 * @param attempt name of the attempt
	 * @param response the response so far
	 * @param charged true if the place is charged to the cap of the organisation
	 * @param now monotonic time in milliseconds
	 * @return the request
	 */
	PlaceRequest placeRequest(String attempt, ClientResponse response, boolean charged, long now) {
		RequestMetadata metadata = this.admitted.metadata();
		int expectedOutputTokens = (metadata.expectedOutputTokens() > 0) ? metadata.expectedOutputTokens()
				: this.context.lengthEstimator.expectedTokens(route().name(), this.admitted.organisationName(),
						metadata.maxOutputTokens());
		long elapsed = now - response.lastEventAt();
		long clientMillis = this.admitted.deadlineAt() - now;
		long placeWait = Math.min(placeWaitMillis(response, now), this.admitted.answerBy() - now);
		long objective = response.streamBegun() ? route().maxGapMillis() : route().objectiveMillis();
		List<String> backedOff = backedOff(now);
		Set<String> excluded = new HashSet<>(this.tried);
		excluded.addAll(backedOff);
		return new PlaceRequest(attempt, this.service, this.admitted.urgency(), route().name(),
				this.admitted.organisationName(), metadata.promptTokens(),
				Math.min(expectedOutputTokens, metadata.maxOutputTokens()), objective - elapsed, placeWait,
				this.context.settings.get().zone(), List.copyOf(excluded), charged ? this.admitted.capUnits() : 0,
				clientMillis, this.admitted.returnKey(), route().maxGapMillis(), !this.version.isEmpty(),
				this.admitted.crashCandidates(), this.version, beginsStream(), this.admitted.routeUrgency(),
				this.context.pressure.inForce() ? this.admitted.bodyBytes() : 0, backedOff);
	}

	@Override
	public String toString() {
		return "service " + this.service + (this.version.isEmpty() ? "" : " of version " + this.version);
	}

}
