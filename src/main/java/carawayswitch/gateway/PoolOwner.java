package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

import carawayswitch.config.PressurePolicy;
import carawayswitch.message.HeldPlace;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RouteTable;
import carawayswitch.route.ServicePolicy;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.PoolDecision;
import carawayswitch.schedule.PoolDemand;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolScheduler;
import carawayswitch.schedule.TokenCap;
import carawayswitch.schedule.Work;

/**
 * Decides on the places of the pools that this host owns, and on the caps of
 * organisations. All state is soft: a new owner learns from the hosts what runs. Does no
 * I/O. Not safe for use by several threads.
 */
final class PoolOwner {

	/**
	 * Part of the units by which a cap may be exceeded in a window that a bucket hands
	 * out; large requests of small organisations need them.
	 */
	static final double SLACK_SHARE = 0.65;

	/** Part of the share by which a cap may be exceeded that a bucket's rate uses. */
	static final double EXCESS_SHARE = 0.5;

	/**
	 * Part of those units with which a bucket begins. The owner of the cap before this
	 * one may have handed out a whole bucket just now; two changes of the owner in a
	 * window are covered.
	 */
	static final double INITIAL_SLACK_SHARE = 0.17;

	private final double capSlack;

	private final double capExcess;

	private final Map<String, PoolScheduler> schedulers = new HashMap<>();

	private final Map<String, TokenCap> caps = new HashMap<>();

	private final Map<String, PlaceRequest> charged = new HashMap<>();

	private final Map<String, String> serviceOf = new HashMap<>();

	private RouteTable routes;

	private EndpointTable endpoints = EndpointTable.EMPTY;

	/**
	 * Creates an owner that knows nothing yet.
	 * @param capSlack units by which a cap may be exceeded in a window
	 * @param capExcess share by which it may be exceeded besides
	 */
	PoolOwner(double capSlack, double capExcess) {
		this.capSlack = capSlack;
		this.capExcess = capExcess;
	}

	/**
	 * Takes over a new configuration or table of endpoints.
	 * @param newRoutes the configuration, or null if none is known
	 * @param newEndpoints the endpoints
	 * @param now steady time in milliseconds
	 */
	void believe(RouteTable newRoutes, EndpointTable newEndpoints, long now) {
		this.routes = newRoutes;
		this.endpoints = newEndpoints;
		this.schedulers.forEach((service, scheduler) -> scheduler.engines(engines(service)));
		if (newRoutes != null) {
			newRoutes.organisations().forEach((organisation) -> changeCap(organisation, now));
		}
	}

	private void changeCap(OrganisationPolicy organisation, long now) {
		TokenCap bucket = bucket(organisation.name(), now);
		if (bucket != null) {
			bucket.change(rate(organisation.tokenCap()), burst(organisation.tokenCap()), now);
		}
	}

	private List<PoolEngine> engines(String service) {
		long kvTokens = (this.routes != null) ? this.routes.service(service).map(ServicePolicy::kvTokens).orElse(0L)
				: 0;
		List<PoolEngine> engines = new ArrayList<>();
		for (EndpointEntry entry : this.endpoints.working(service)) {
			engines.add(new PoolEngine(entry.id(), entry.zone(), entry.slots(), kvTokens));
		}
		return engines;
	}

	private PoolScheduler scheduler(String service) {
		return this.schedulers.computeIfAbsent(service, (name) -> {
			PoolScheduler scheduler = new PoolScheduler();
			scheduler.engines(engines(name));
			return scheduler;
		});
	}

	/**
	 * Takes a wish for a place. The decision comes from {@link #decide}, unless the cap
	 * of the organisation is exceeded or the wish was granted before.
	 * @param host id of the host that asks
	 * @param request the wish
	 * @param now steady time in milliseconds
	 * @return the decision, or null if it comes later
	 */
	PlaceReply ask(String host, PlaceRequest request, long now) {
		String engine = scheduler(request.service()).engineOf(request.requestId());
		if (engine != null) {
			return new PlaceReply(request.requestId(), engine, 0, false, "granted_before");
		}
		boolean known = this.serviceOf.containsKey(request.requestId());
		long wait = known ? 0 : charge(request, now);
		if (wait > 0) {
			return new PlaceReply(request.requestId(), "", wait, true, "cap");
		}
		this.serviceOf.put(request.requestId(), request.service());
		scheduler(request.service()).offer(demand(host, request, now), now);
		return null;
	}

	private long charge(PlaceRequest request, long now) {
		TokenCap bucket = bucket(request.organisation(), now);
		if (bucket == null || request.capUnits() == 0) {
			return 0;
		}
		long wait = bucket.take(request.capUnits(), now);
		if (wait == 0) {
			this.charged.put(request.requestId(), request);
		}
		return wait;
	}

	private TokenCap bucket(String organisation, long now) {
		OrganisationPolicy.Cap cap = (this.routes != null)
				? this.routes.organisationNamed(organisation).map(OrganisationPolicy::tokenCap).orElse(null) : null;
		if (cap == null) {
			return null;
		}
		return this.caps.computeIfAbsent(organisation,
				(name) -> new TokenCap(rate(cap), burst(cap), this.capSlack * INITIAL_SLACK_SHARE, now));
	}

	private double rate(OrganisationPolicy.Cap cap) {
		return cap.perSecond() * (1 + this.capExcess * EXCESS_SHARE);
	}

	private double burst(OrganisationPolicy.Cap cap) {
		return cap.burst() * (1 + this.capExcess) + this.capSlack * SLACK_SHARE;
	}

	private static PoolDemand demand(String host, PlaceRequest request, long now) {
		Work work = new Work(request.requestId(), request.urgency(), request.kind(), 1, request.organisation(), 1,
				PressurePolicy.WAIT, request.promptTokens(), 0, 0, request.outputTokens(), 0, now,
				now + request.patienceMillis());
		return new PoolDemand(work, host, request.zone(), now + request.objectiveMillis(),
				new HashSet<>(request.excluded()), now + request.clientMillis(), request.returnKey());
	}

	/**
	 * Decides what can be decided now.
	 * @param now steady time in milliseconds
	 * @return decisions with the hosts that asked
	 */
	List<Decision> decide(long now) {
		List<Decision> decisions = new ArrayList<>();
		for (PoolScheduler scheduler : this.schedulers.values()) {
			for (PoolDecision decision : scheduler.decide(now)) {
				String id = decision.demand().work().id();
				if (!decision.granted()) {
					this.serviceOf.remove(id);
					refund(id);
				}
				this.charged.remove(id);
				decisions.add(new Decision(decision.demand().host(),
						new PlaceReply(id, decision.granted() ? decision.engine() : "", decision.retryAfterMillis(),
								false, decision.reason())));
			}
		}
		return decisions;
	}

	private void refund(String id) {
		PlaceRequest request = this.charged.remove(id);
		TokenCap bucket = (request != null) ? this.caps.get(request.organisation()) : null;
		if (bucket != null) {
			bucket.giveBack(request.capUnits());
		}
	}

	void begun(PlaceBegun message) {
		scheduler(message.service()).firstEvent(message.requestId(), message.millis());
	}

	void ended(PlaceEnded message, long now) {
		PoolScheduler scheduler = scheduler(message.service());
		if (message.result().isEmpty()) {
			scheduler.withdraw(message.requestId());
			refund(message.requestId());
		}
		else {
			scheduler.ended(message.requestId(), AttemptResult.valueOf(message.result()), message.tokens(),
					message.streamMillis(), now);
		}
		this.serviceOf.remove(message.requestId());
		this.charged.remove(message.requestId());
	}

	void adopt(String host, String service, List<HeldPlace> places, long now) {
		for (HeldPlace place : places) {
			scheduler(service).adopt(demand(host, place.request(), now), place.endpoint(), now);
			this.serviceOf.put(place.request().requestId(), service);
		}
	}

	/**
	 * Forgets what a lost host asked for.
	 * @param host id of the host
	 */
	void hostLost(String host) {
		for (PoolScheduler scheduler : this.schedulers.values()) {
			for (String id : scheduler.hostLost(host)) {
				this.serviceOf.remove(id);
				refund(id);
			}
		}
	}

	/**
	 * Begins to decide. What organisations used of the former owner's buckets is not
	 * known, so that all buckets begin anew.
	 * @param now steady time in milliseconds
	 */
	void begin(long now) {
		this.caps.clear();
		if (this.routes != null) {
			this.routes.organisations().forEach((organisation) -> bucket(organisation.name(), now));
		}
	}

	/**
	 * Forgets everything, since another host decides from now on.
	 */
	void forget() {
		this.schedulers.clear();
		this.caps.clear();
		this.charged.clear();
		this.serviceOf.clear();
	}

	int waitingCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::waitingCount).sum();
	}

	int runningCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::runningCount).sum();
	}

	/**
	 * A decision and who asked for it. Immutable.
	 *
	 * @param host id of the host that asked
	 * @param reply the decision
	 */
	record Decision(String host, PlaceReply reply) {

	}

}
