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
import carawayswitch.schedule.CapDebits;
import carawayswitch.schedule.SlidingCap;
import carawayswitch.schedule.UseHistory;

/**
 * Places of this host's requests at engines. Asks the owner of the pools, which may be
 * this host, and asks the next one when the owner changes; bytes of requests and answers
 * do not pass the owner. Invariant: each placement gets one decision and is given back
 * once. Confined to the thread of its event loop.
 */
final class Placements implements GatewayPeers.Listener {

	/**
	 * Time between two looks at what waits in milliseconds; a fraction of the shortest
	 * common objective.
	 */
	private static final long DECIDE_MILLIS = 25;

	/** Time between two looks at what waits for the owner's decision in milliseconds. */
	private static final long LOOK_MILLIS = 100;

	/**
	 * Time between two reports of used caps in milliseconds; an exhausted cap is exceeded
	 * by what comes in that time.
	 */
	private static final long REPORT_MILLIS = 150;

	/** Time without a decision in milliseconds after which the owner is asked again. */
	private static final long ASK_AGAIN_MILLIS = 700;

	/**
	 * Time in milliseconds for which a host that has ceased to own the pools names the
	 * owner to those that still ask it. After that it decides, since the two may not
	 * reach the same host.
	 */
	private static final long HANDOVER_MILLIS = 1000;

	/** Time in milliseconds for a decision to arrive after the patience has ended. */
	private static final long GIVE_UP_MILLIS = 200;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final PoolOwner own;

	private final CapDebits debits;

	/** What requests of this host have used of the caps lately, by organisation. */
	private final Map<String, UseHistory> histories = new HashMap<>();

	private final GatewaySettings.Bounds bounds;

	private final long startedAt = Clocks.monotonicMillis();

	private final Map<String, Placement> placements = new LinkedHashMap<>();

	private String owner = "";

	private long ownerSince = this.startedAt;

	private GatewayPeers peers;

	private boolean deciding;

	private boolean ticking;

	private boolean reporting;

	/** Placements of this host without a decision, at most. */
	private int waitingHere;

	/** Time at which another host became the owner in place of this one. */
	private long handedOverAt = Long.MIN_VALUE / 2;

	Placements(NioReactor reactor, DecisionLog log, GatewaySettings.Bounds bounds) {
		this.bounds = bounds;
		this.own = new PoolOwner(bounds, this.startedAt);
		this.debits = new CapDebits(bounds.capSlack() * PoolOwner.UNASKED_SHARE, bounds.capWindowMillis());
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
		this.waitingHere = 0;
		for (Placement placement : List.copyOf(this.placements.values())) {
			if (placement.waits()) {
				this.waitingHere++;
				askAgain(placement, now);
			}
		}
		if (this.own.waitingCount() > 0) {
			decide();
		}
		this.ticking = false;
		tickWhileWaiting();
	}

	private void tickWhileWaiting() {
		if (!this.ticking && (this.waitingHere > 0 || this.own.waitingCount() > 0)) {
			this.ticking = true;
			this.reactor.delayBackground((this.own.waitingCount() > 0) ? DECIDE_MILLIS : LOOK_MILLIS, this::tick);
		}
	}

	void believe(RouteTable routes, EndpointTable endpoints) {
		this.own.believe(routes, endpoints, Clocks.monotonicMillis());
		decideSoon();
	}

	/**
	 * Asks for a place.
	 * @param request the wish
	 * @param listener receives the decision
	 * @param now steady time in milliseconds
	 * @return the placement, to be given back by {@link #ended} or {@link #withdraw}
	 */
	Placement ask(PlaceRequest request, Placement.Listener listener, long now) {
		Placement placement = new Placement(request, listener, now);
		this.placements.put(placement.id(), placement);
		this.waitingHere++;
		ask(placement, now);
		tickWhileWaiting();
		return placement;
	}

	private void ask(Placement placement, long now) {
		PlaceRequest request = placement.request(now);
		if (!ownsPools()) {
			this.peers.send(this.owner, request);
			return;
		}
		PlaceReply decided = this.own.ask(this.owner, request, now);
		if (decided != null) {
			this.reactor.post(() -> onReply(this.peers.selfId(), decided));
		}
		decideSoon();
	}

	// Asks again where a message may have been lost, and gives up in the end.
	private void askAgain(Placement placement, long now) {
		if (now - placement.askedAt() > placement.patienceMillis() + GIVE_UP_MILLIS) {
			withdraw(placement);
			placement.listener().onRefused(false, GIVE_UP_MILLIS, "no_decision");
		}
		else if (now - placement.lastAskedAt() > ASK_AGAIN_MILLIS) {
			placement.askedAgain(now);
			ask(placement, now);
		}
	}

	private void decideSoon() {
		if (!this.deciding) {
			this.deciding = true;
			this.reactor.post(this::decide);
		}
	}

	private void decide() {
		this.deciding = false;
		for (PoolOwner.Decision decision : this.own.decide(Clocks.monotonicMillis())) {
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
		boolean current = placement != null && placement.waits() && this.owner.equals(from);
		if (!current) {
			// A wish that was withdrawn or asked elsewhere; its owner has been told.
			return;
		}
		this.log.write(LogEvent.PLACE_DECIDED, "request", reply.requestId(), "owner", from, "endpoint",
				reply.endpoint(), "reason", reply.reason(), "over_cap", reply.overCap(), "retry_after_ms",
				reply.retryAfterMillis());
		if (reply.endpoint().isEmpty()) {
			this.placements.remove(reply.requestId());
			placement.listener().onRefused(reply.overCap(), reply.retryAfterMillis(), reply.reason());
		}
		else {
			if (placement.capUnits() > 0) {
				remember(placement.organisation(), placement.capUnits(), Clocks.monotonicMillis());
			}
			placement.granted(reply.endpoint());
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
	long useCap(String organisation, int units, long now) {
		long wait = this.debits.take(organisation, units, this.peers.largestFleetSize(), now);
		if (wait == 0) {
			remember(organisation, units, now);
		}
		if (!this.reporting) {
			this.reporting = true;
			this.reactor.delayBackground(REPORT_MILLIS, this::reportUse);
		}
		return wait;
	}

	private void remember(String organisation, int units, long now) {
		this.histories
			.computeIfAbsent(organisation,
					(name) -> new UseHistory(this.bounds.capWindowMillis() + SlidingCap.ARRIVAL_MILLIS, now))
			.add(units, now);
	}

	private void reportUse() {
		long now = Clocks.monotonicMillis();
		List<OrganisationUse> uses = this.debits.unacknowledged(now);
		this.reporting = !uses.isEmpty();
		if (uses.isEmpty()) {
			return;
		}
		this.reactor.delayBackground(REPORT_MILLIS, this::reportUse);
		if (ownsPools()) {
			this.debits.acknowledged(this.own.charge(this.owner, uses, now), now);
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
	void begun(Placement placement, long millis) {
		if (placement.begin()) {
			toOwner(new PlaceBegun(placement.id(), placement.service(), millis));
		}
	}

	/**
	 * Gives back a place.
	 * @param placement the placement
	 * @param result how the attempt ended
	 * @param tokens tokens of the answer
	 * @param streamMillis time from the first event to the end in milliseconds
	 */
	void ended(Placement placement, AttemptResult result, int tokens, long streamMillis) {
		if (this.placements.remove(placement.id()) != null) {
			toOwner(new PlaceEnded(placement.id(), placement.service(), result.name(), tokens, streamMillis));
		}
	}

	/**
	 * Takes back a wish, or gives back a place that was not used.
	 * @param placement the placement
	 */
	void withdraw(Placement placement) {
		if (this.placements.remove(placement.id()) != null) {
			toOwner(new PlaceEnded(placement.id(), placement.service(), "", 0, 0));
		}
	}

	private boolean ownsPools() {
		return this.owner.equals(this.peers.selfId());
	}

	private void toOwner(Message message) {
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
			this.debits.acknowledged(reply.states(), now);
		}
		else if (message instanceof CapUse use) {
			this.peers.reply(peer, new CapUseReply(this.own.charge(peer, use.uses(), now)));
		}
		else {
			onOwnerMessage(peer, message, now);
		}
	}

	private void onOwnerMessage(String peer, Message message, long now) {
		if (message instanceof PlaceRequest request) {
			if (!ownsPools() && now - this.handedOverAt < HANDOVER_MILLIS) {
				this.peers.sendLeaders(peer);
				return;
			}
			PlaceReply decided = this.own.ask(peer, request, now);
			if (decided != null) {
				this.peers.reply(peer, decided);
			}
		}
		else if (message instanceof PlaceBegun begun) {
			this.own.begun(begun);
		}
		else if (message instanceof PlaceEnded ended) {
			this.own.ended(ended, now);
		}
		else if (message instanceof PlacesHeld held) {
			this.own.adopt(peer, held.service(), held.places(), now);
		}
		else if (message instanceof CapHistory history) {
			this.own.told(history, this.peers.largestFleetSize(), now);
		}
		decideSoon();
	}

	@Override
	public void onViewChanged(List<String> lost) {
		long now = Clocks.monotonicMillis();
		lost.forEach((host) -> this.own.hostLost(host, now));
		String before = this.owner;
		this.owner = this.peers.owner();
		if (!this.owner.equals(before) || lost.contains(this.owner)) {
			this.log.write(LogEvent.POOL_OWNER_CHANGED, "before", before, "after", this.owner, "waiting_here",
					this.own.waitingCount(), "running_here", this.own.runningCount());
			if (ownsPools()) {
				this.ownerSince = now;
				this.own.begin(now);
			}
			else {
				this.handedOverAt = before.equals(this.peers.selfId()) ? now : this.handedOverAt;
				this.own.forget();
			}
			moveToOwner(now);
		}
		this.own.share(this.peers.reachableShare(this.ownerSince));
		decideSoon();
	}

	private void moveToOwner(long now) {
		Map<String, List<HeldPlace>> held = new HashMap<>();
		List<Placement> waiting = new ArrayList<>();
		for (Placement placement : this.placements.values()) {
			if (placement.waits()) {
				waiting.add(placement);
			}
			else {
				held.computeIfAbsent(placement.service(), (service) -> new ArrayList<>())
					.add(new HeldPlace(placement.endpoint(), placement.request(now)));
			}
		}
		List<OrganisationHistory> used = new ArrayList<>();
		this.histories.forEach((name, history) -> used.add(new OrganisationHistory(name, history.newestFirst(now))));
		toOwner(new CapHistory(now - this.startedAt, used));
		held.forEach((service, places) -> toOwner(new PlacesHeld(service, places)));
		waiting.forEach((placement) -> ask(placement, now));
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.placements.isEmpty() ? Set.of() : Set.of(this.owner);
	}

	int waitingCount() {
		return this.own.waitingCount();
	}

	int runningCount() {
		return this.own.runningCount();
	}

}
