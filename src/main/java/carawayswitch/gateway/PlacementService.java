package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.CapHistory;
import carawayswitch.message.CapUse;
import carawayswitch.message.CapUseReply;
import carawayswitch.message.HeldPlace;
import carawayswitch.message.Message;
import carawayswitch.message.OrganisationHistory;
import carawayswitch.message.OrganisationUse;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.message.PlacesHeld;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.DeferredCapAccounting;
import carawayswitch.schedule.SlidingWindowCap;
import carawayswitch.schedule.SlidingWindowCounter;

/**
 * Places of this host's requests at engines. Asks the owner of the pools, which may be
 * this host, and asks the next one when the owner changes; bytes of requests and answers
 * do not pass the owner. Invariant: each placement gets one decision and is given back
 * once. Confined to the thread of its event loop.
 */
final class PlacementService implements GatewayPeers.Listener {

	/**
	 * Time between two looks at what waits in milliseconds; a fraction of the shortest
	 * common objective.
	 */
	private static final long DECISION_INTERVAL_MILLIS = 25;

	/** Time between two looks at what waits for the owner's decision in milliseconds. */
	private static final long PENDING_CHECK_INTERVAL_MILLIS = 100;

	/**
	 * Time between two reports of used caps in milliseconds; an exhausted cap is exceeded
	 * by what comes in that time.
	 */
	private static final long CAP_REPORT_INTERVAL_MILLIS = 150;

	/** Time without a decision in milliseconds after which the owner is asked again. */
	private static final long RESEND_INTERVAL_MILLIS = 700;

	/**
	 * Time in milliseconds for which a host that has ceased to own the pools names the
	 * owner to those that still ask it. After that it decides, since the two may not
	 * reach the same host.
	 */
	private static final long OWNER_REDIRECT_MILLIS = 1000;

	/** Time in milliseconds for a decision to arrive after the patience has ended. */
	private static final long DECISION_GRACE_MILLIS = 200;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final PoolOwner localOwner;

	private final DeferredCapAccounting debits;

	/** What requests of this host have used of the caps lately, by organisation. */
	private final Map<String, SlidingWindowCounter> capHistories = new HashMap<>();

	private final GatewaySettings.Bounds bounds;

	private final long startedAt = Clocks.monotonicMillis();

	private final Map<String, Placement> placements = new LinkedHashMap<>();

	private String owner = "";

	private long ownerSince = this.startedAt;

	private GatewayPeers peers;

	private boolean decisionScheduled;

	private boolean tickScheduled;

	private boolean capReportScheduled;

	/** Placements of this host without a decision, at most. */
	private int maxPending;

	/** Time at which another host became the owner in place of this one. */
	private long ownershipLostAt = Long.MIN_VALUE / 2;

	PlacementService(NioReactor reactor, DecisionLog log, GatewaySettings.Bounds bounds) {
		this.bounds = bounds;
		this.localOwner = new PoolOwner(bounds, this.startedAt);
		this.debits = new DeferredCapAccounting(bounds.capSlack() * PoolOwner.UNCOORDINATED_SHARE,
				bounds.capWindowMillis());
		this.reactor = reactor;
		this.log = log;
	}

	void start(GatewayPeers gatewayPeers) {
		this.peers = gatewayPeers;
		this.owner = gatewayPeers.owner();
	}

	// Looks at what waits, here or for others, for as long as something does.
	private void tick() {
		long now = Clocks.monotonicMillis();
		this.maxPending = 0;
		for (Placement placement : List.copyOf(this.placements.values())) {
			if (placement.pending()) {
				this.maxPending++;
				resendOrGiveUp(placement, now);
			}
		}
		if (this.localOwner.waitingCount() > 0) {
			decide();
		}
		this.tickScheduled = false;
		tickWhileWaiting();
	}

	private void tickWhileWaiting() {
		if (!this.tickScheduled && (this.maxPending > 0 || this.localOwner.waitingCount() > 0)) {
			this.tickScheduled = true;
			this.reactor.delayBackground(
					(this.localOwner.waitingCount() > 0) ? DECISION_INTERVAL_MILLIS : PENDING_CHECK_INTERVAL_MILLIS,
					this::tick);
		}
	}

	void updateConfiguration(RouteTable routes, EndpointTable endpoints) {
		this.localOwner.updateConfiguration(routes, endpoints, Clocks.monotonicMillis());
		scheduleDecision();
	}

	/**
	 * Asks for a place.
	 * @param request the wish
	 * @param listener receives the decision
	 * @param now steady time in milliseconds
	 * @return the placement, to be given back by {@link #release} or {@link #withdraw}
	 */
	Placement requestPlace(PlaceRequest request, Placement.Listener listener, long now) {
		Placement placement = new Placement(request, listener, now);
		this.placements.put(placement.id(), placement);
		this.maxPending++;
		requestPlace(placement, now);
		tickWhileWaiting();
		return placement;
	}

	private void requestPlace(Placement placement, long now) {
		PlaceRequest request = placement.request(now);
		if (!ownsPools()) {
			this.peers.send(this.owner, request);
			return;
		}
		PlaceReply reply = this.localOwner.requestPlace(this.owner, request, now);
		if (reply != null) {
			this.reactor.post(() -> onReply(this.peers.selfId(), reply));
		}
		scheduleDecision();
	}

	// Asks again where a message may have been lost, and gives up in the end.
	private void resendOrGiveUp(Placement placement, long now) {
		if (now - placement.requestedAt() > placement.waitLimitMillis() + DECISION_GRACE_MILLIS) {
			withdraw(placement);
			placement.listener().onRejected(false, DECISION_GRACE_MILLIS, "no_decision");
		}
		else if (now - placement.lastSentAt() > RESEND_INTERVAL_MILLIS) {
			placement.resent(now);
			requestPlace(placement, now);
		}
	}

	private void scheduleDecision() {
		if (!this.decisionScheduled) {
			this.decisionScheduled = true;
			this.reactor.post(this::decide);
		}
	}

	private void decide() {
		this.decisionScheduled = false;
		for (PoolOwner.Decision decision : this.localOwner.decide(Clocks.monotonicMillis())) {
			if (decision.host().equals(this.peers.selfId())) {
				onReply(decision.host(), decision.reply());
			}
			else {
				this.peers.reply(decision.host(), decision.reply());
			}
		}
		tickWhileWaiting();
	}

	private void onReply(String from, PlaceReply reply) {
		Placement placement = this.placements.get(reply.requestId());
		boolean awaited = placement != null && placement.pending() && this.owner.equals(from);
		if (!awaited) {
			// A wish that was withdrawn or asked elsewhere; its owner has been told.
			return;
		}
		this.log.write(LogEvent.PLACE_DECIDED, "request", reply.requestId(), "owner", from, "endpoint",
				reply.endpoint(), "reason", reply.reason(), "over_cap", reply.overCap(), "retry_after_ms",
				reply.retryAfterMillis());
		if (reply.endpoint().isEmpty()) {
			this.placements.remove(reply.requestId());
			placement.listener().onRejected(reply.overCap(), reply.retryAfterMillis(), reply.reason());
		}
		else {
			if (placement.capUnits() > 0) {
				recordCapUse(placement.organisation(), placement.capUnits(), Clocks.monotonicMillis());
			}
			placement.grant(reply.endpoint());
			placement.listener().onGranted(reply.endpoint());
		}
	}

	/**
	 * Uses units of an organisation's cap for a request that needs no place.
	 * @param organisation name of the organisation
	 * @param units number of units
	 * @param now steady time in milliseconds
	 * @return 0 if the request may run, or the time in milliseconds after which to ask
	 * again
	 */
	long takeCapUnits(String organisation, int units, long now) {
		long wait = this.debits.tryAcquire(organisation, units, this.peers.largestFleetSize(), now);
		if (wait == 0) {
			recordCapUse(organisation, units, now);
		}
		if (!this.capReportScheduled) {
			this.capReportScheduled = true;
			this.reactor.delayBackground(CAP_REPORT_INTERVAL_MILLIS, this::reportCapUse);
		}
		return wait;
	}

	private void recordCapUse(String organisation, int units, long now) {
		this.capHistories
			.computeIfAbsent(organisation,
					(name) -> new SlidingWindowCounter(
							this.bounds.capWindowMillis() + SlidingWindowCap.ARRIVAL_DELAY_MILLIS, now))
			.add(units, now);
	}

	private void reportCapUse() {
		long now = Clocks.monotonicMillis();
		List<OrganisationUse> uses = this.debits.unacknowledged(now);
		this.capReportScheduled = !uses.isEmpty();
		if (uses.isEmpty()) {
			return;
		}
		this.reactor.delayBackground(CAP_REPORT_INTERVAL_MILLIS, this::reportCapUse);
		if (ownsPools()) {
			this.debits.onAcknowledged(this.localOwner.charge(this.owner, uses, now), now);
		}
		else {
			this.peers.send(this.owner, new CapUse(uses));
		}
	}

	/**
	 * Records the first event of an answer.
	 * @param placement the placement
	 * @param millis time from dispatch to the event in milliseconds
	 */
	void firstEvent(Placement placement, long millis) {
		if (placement.markFirstEvent()) {
			sendToOwner(new PlaceBegun(placement.id(), placement.service(), millis));
		}
	}

	/**
	 * Gives back a place.
	 * @param placement the placement
	 * @param result how the attempt ended
	 * @param tokens tokens of the answer
	 * @param streamMillis time from the first event to the end in milliseconds
	 */
	void release(Placement placement, AttemptResult result, int tokens, long streamMillis) {
		if (this.placements.remove(placement.id()) != null) {
			sendToOwner(new PlaceEnded(placement.id(), placement.service(), result.name(), tokens, streamMillis));
		}
	}

	/**
	 * Takes back a wish, or gives back a place that was not used.
	 * @param placement the placement
	 */
	void withdraw(Placement placement) {
		if (this.placements.remove(placement.id()) != null) {
			sendToOwner(new PlaceEnded(placement.id(), placement.service(), "", 0, 0));
		}
	}

	private boolean ownsPools() {
		return this.owner.equals(this.peers.selfId());
	}

	private void sendToOwner(Message message) {
		if (ownsPools()) {
			onOwnerMessage(this.owner, message, Clocks.monotonicMillis());
		}
		else {
			this.peers.send(this.owner, message);
		}
	}

	@Override
	public void onMessage(String peer, Message message, long now) {
		if (message instanceof PlaceReply reply) {
			onReply(peer, reply);
		}
		else if (message instanceof CapUseReply reply) {
			this.debits.onAcknowledged(reply.states(), now);
		}
		else if (message instanceof CapUse use) {
			this.peers.reply(peer, new CapUseReply(this.localOwner.charge(peer, use.uses(), now)));
		}
		else {
			onOwnerMessage(peer, message, now);
		}
	}

	private void onOwnerMessage(String peer, Message message, long now) {
		if (message instanceof PlaceRequest request) {
			if (!ownsPools() && now - this.ownershipLostAt < OWNER_REDIRECT_MILLIS) {
				this.peers.sendLeaders(peer);
				return;
			}
			PlaceReply decided = this.localOwner.requestPlace(peer, request, now);
			if (decided != null) {
				this.peers.reply(peer, decided);
			}
		}
		else if (message instanceof PlaceBegun begun) {
			this.localOwner.onFirstEvent(begun);
		}
		else if (message instanceof PlaceEnded ended) {
			this.localOwner.onEnded(ended, now);
		}
		else if (message instanceof PlacesHeld held) {
			this.localOwner.adopt(peer, held.service(), held.places(), now);
		}
		else if (message instanceof CapHistory history) {
			this.localOwner.mergeHistory(history, this.peers.largestFleetSize(), now);
		}
		scheduleDecision();
	}

	@Override
	public void onViewChanged(List<String> lost) {
		long now = Clocks.monotonicMillis();
		lost.forEach((host) -> this.localOwner.onHostLost(host, now));
		String previousOwner = this.owner;
		this.owner = this.peers.owner();
		if (!this.owner.equals(previousOwner) || lost.contains(this.owner)) {
			this.log.write(LogEvent.POOL_OWNER_CHANGED, "before", previousOwner, "after", this.owner, "waiting_here",
					this.localOwner.waitingCount(), "running_here", this.localOwner.runningCount());
			if (ownsPools()) {
				this.ownerSince = now;
				this.localOwner.becomeOwner(now);
			}
			else {
				this.ownershipLostAt = previousOwner.equals(this.peers.selfId()) ? now : this.ownershipLostAt;
				this.localOwner.resign();
			}
			reportToNewOwner(now);
		}
		this.localOwner.capShare(this.peers.reachableShare(this.ownerSince));
		scheduleDecision();
	}

	private void reportToNewOwner(long now) {
		Map<String, List<HeldPlace>> held = new HashMap<>();
		List<Placement> waiting = new ArrayList<>();
		for (Placement placement : this.placements.values()) {
			if (placement.pending()) {
				waiting.add(placement);
			}
			else {
				held.computeIfAbsent(placement.service(), (service) -> new ArrayList<>())
					.add(new HeldPlace(placement.endpoint(), placement.request(now)));
			}
		}
		List<OrganisationHistory> used = new ArrayList<>();
		this.capHistories
			.forEach((name, history) -> used.add(new OrganisationHistory(name, history.unitsNewestFirst(now))));
		sendToOwner(new CapHistory(now - this.startedAt, used));
		held.forEach((service, places) -> sendToOwner(new PlacesHeld(service, places)));
		waiting.forEach((placement) -> requestPlace(placement, now));
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.placements.isEmpty() ? Set.of() : Set.of(this.owner);
	}

	int waitingCount() {
		return this.localOwner.waitingCount();
	}

	int runningCount() {
		return this.localOwner.runningCount();
	}

}
