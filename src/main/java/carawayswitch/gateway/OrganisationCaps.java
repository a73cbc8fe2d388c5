package carawayswitch.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import carawayswitch.message.CapHistory;
import carawayswitch.message.OrganisationCapState;
import carawayswitch.message.OrganisationUse;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RouteTable;
import carawayswitch.schedule.SlidingWindowCap;
import carawayswitch.schedule.SlidingWindowCounter;

/**
 * Use of the caps of organisations, over all hosts, as the owner of the pools counts it.
 * All state is soft: hosts report their recent use to a new owner, and after a loss of
 * all hosts a record of an earlier owner tells it. Does no I/O. Not safe for use by
 * several threads. Times are monotonic milliseconds.
 */
final class OrganisationCaps {

	/**
	 * Share of a cap's slack that is reserved for hosts which cannot reach an owner. They
	 * use it without coordination, so the owner does not grant it.
	 */
	static final double UNCOORDINATED_SHARE = 0.1;

	/**
	 * Time in milliseconds after the return of a host within which it reports its recent
	 * use. Its part of the caps is not granted before, unless all hosts have reported: a
	 * fleet that starts would get 429 for a second.
	 */
	private static final long RETURN_REPORT_MILLIS = 1000;

	private static final double SECOND_MILLIS = 1000;

	private final GatewaySettings.Bounds bounds;

	private final Map<String, SlidingWindowCap> caps = new HashMap<>();

	/** Undecided requests that were charged to a cap, by request id. */
	private final Map<String, ChargedRequest> chargedRequests = new HashMap<>();

	/** Totals of cap use as last reported, by host and organisation. */
	private final Map<String, Map<String, Long>> chargedTotals = new HashMap<>();

	/**
	 * Time from which this owner has counted cap use itself; earlier use is assumed until
	 * the hosts report it.
	 */
	private long ownerSince;

	/** Time before which no host has run, or {@code Long.MIN_VALUE} if it is unknown. */
	private final long unusedBefore;

	/** Units that this owner has granted in the window, by host and organisation. */
	private final Map<String, Map<String, SlidingWindowCounter>> grantedUnits = new HashMap<>();

	/** Share of the known hosts that this owner reaches. */
	private double ownerShare = 1;

	/** Lower shares that still hold, since returned hosts may not have reported yet. */
	private final Deque<EarlierShare> earlierShares = new ArrayDeque<>();

	/** Reachable hosts, this one included, that have reported to this owner. */
	private final Set<String> reported = new HashSet<>();

	/** Use that an earlier owner has recorded, or null. */
	private CapUse record;

	/** Monotonic time in milliseconds at which it was recorded. */
	private long recordedAt;

	/** Earliest time from which a host has reported its use to this owner. */
	private long reportedFrom = Long.MAX_VALUE;

	private RouteTable routes;

	/**
	 * Creates caps without a configuration.
	 * @param bounds bounds of the deployment
	 * @param unusedBefore monotonic time in milliseconds before which no host has run, or
	 * {@code Long.MIN_VALUE} if it is unknown
	 * @param now monotonic time in milliseconds
	 */
	OrganisationCaps(GatewaySettings.Bounds bounds, long unusedBefore, long now) {
		this.bounds = bounds;
		this.unusedBefore = unusedBefore;
		this.ownerSince = now;
	}

	/**
	 * Replaces the configuration.
	 * @param newRoutes the configuration, or null if none is known
	 * @param now monotonic time in milliseconds
	 */
	void updateConfiguration(RouteTable newRoutes, long now) {
		this.routes = newRoutes;
		if (newRoutes != null) {
			newRoutes.organisations().forEach((organisation) -> updateCap(organisation, now));
		}
	}

	private void updateCap(OrganisationPolicy organisation, long now) {
		SlidingWindowCap cap = cap(organisation.name(), now);
		if (cap != null) {
			cap.allowedUnits(maxUnits(organisation.cap()));
		}
	}

	/**
	 * Charges the cap of an organisation. The tolerance of a cap above its rate and burst
	 * is granted only while engines have free capacity; under contention it would be
	 * taken from organisations that keep to their caps. The rest of a stream, of which
	 * the client has a part already, may use it at any time.
	 * @param host id of the requesting host
	 * @param request the place request
	 * @param saturated returns whether the request would have to wait for an engine
	 * @param now monotonic time in milliseconds
	 * @return the rejection, or null if the request was charged or has no cap
	 */
	PlaceReply charge(String host, PlaceRequest request, BooleanSupplier saturated, long now) {
		SlidingWindowCap cap = cap(request.organisation(), now);
		if (cap == null || request.capUnits() == 0) {
			return null;
		}
		long guaranteedWait = cap.waitMillisWithin(request.capUnits(),
				guaranteedUnits(capPolicy(request.organisation())), now);
		if (guaranteedWait > 0 && !request.resumed() && saturated.getAsBoolean()) {
			return overCap(request, guaranteedWait, "beyond_rate_and_burst_in_crowd");
		}
		long wait = cap.tryAcquire(request.capUnits(), now);
		if (wait > 0) {
			return overCap(request, wait, "cap");
		}
		granted(host, request.organisation(), now).add(request.capUnits(), now);
		this.chargedRequests.put(request.requestId(), new ChargedRequest(host, request, now));
		return null;
	}

	private static PlaceReply overCap(PlaceRequest request, long wait, String reason) {
		return new PlaceReply(request.requestId(), "", wait, true, reason, false);
	}

	/**
	 * Charges cap use that a host reports after the fact. Reports carry running totals,
	 * so a duplicate report is charged once. If the previous total is unknown or higher,
	 * only the host's unacknowledged use is charged.
	 * @param host id of the host
	 * @param uses use by organisation
	 * @param now monotonic time in milliseconds
	 * @return the state of the caps
	 */
	List<OrganisationCapState> charge(String host, List<OrganisationUse> uses, long now) {
		Map<String, Long> totals = this.chargedTotals.computeIfAbsent(host, (name) -> new HashMap<>());
		List<OrganisationCapState> states = new ArrayList<>();
		for (OrganisationUse use : uses) {
			Long previousTotal = totals.put(use.organisation(), use.total());
			boolean totalKnown = previousTotal != null && previousTotal <= use.total();
			SlidingWindowCap cap = cap(use.organisation(), now);
			long units = totalKnown ? use.total() - previousTotal : use.open();
			granted(host, use.organisation(), now).add(units, now);
			long exhausted = (cap != null) ? cap.charge(units, now) : 0;
			states.add(new OrganisationCapState(use.organisation(), use.total(), exhausted));
		}
		return states;
	}

	private SlidingWindowCounter granted(String host, String organisation, long now) {
		return this.grantedUnits.computeIfAbsent(host, (name) -> new HashMap<>())
			.computeIfAbsent(organisation, (name) -> new SlidingWindowCounter(
					this.bounds.capWindowMillis() + SlidingWindowCap.ARRIVAL_DELAY_MILLIS, now));
	}

	private SlidingWindowCap cap(String organisation, long now) {
		OrganisationPolicy.Cap policy = capPolicy(organisation);
		if (policy == null) {
			return null;
		}
		SlidingWindowCap organisationCap = this.caps.computeIfAbsent(organisation, (name) -> {
			SlidingWindowCap cap = new SlidingWindowCap(maxUnits(policy), this.bounds.capWindowMillis(), now);
			if (now - this.ownerSince < this.bounds.capWindowMillis()) {
				cap.assumeUsed(this.unusedBefore, now);
				applyRecord(name, cap, now);
			}
			return cap;
		});
		organisationCap.ownerShare(grantableShare(now));
		return organisationCap;
	}

	/**
	 * Returns whether some organisation is known to have a cap.
	 * @return true if one has
	 */
	boolean inUse() {
		return !this.caps.isEmpty();
	}

	private void applyRecord(String name, SlidingWindowCap cap, long now) {
		if (this.record != null) {
			cap.applyRecord(this.record.units().getOrDefault(name, List.of()), now - this.recordedAt, now);
		}
	}

	/**
	 * Applies the record of an earlier owner, unless a host has reported its use since
	 * then: a record is for a loss of all hosts.
	 * @param use the record
	 * @param recordedMillisAgo its age in milliseconds
	 * @param now monotonic time in milliseconds
	 * @return false if it was not applied
	 */
	boolean applyRecord(CapUse use, long recordedMillisAgo, long now) {
		if (this.unusedBefore != Long.MIN_VALUE || this.record != null
				|| recordedMillisAgo > this.bounds.capWindowMillis() || this.reportedFrom <= now - recordedMillisAgo) {
			return false;
		}
		this.record = use;
		this.recordedAt = now - recordedMillisAgo;
		this.caps.forEach((name, cap) -> applyRecord(name, cap, now));
		return true;
	}

	/**
	 * Returns the use in the window, for a record of it.
	 * @param now monotonic time in milliseconds
	 * @return units by organisation, without those that have used none; empty if other
	 * hosts may have an owner of their own, whose grants are not known
	 */
	Optional<Map<String, List<Long>>> unitsToRecord(long now) {
		if (grantableShare(now) < 1) {
			return Optional.empty();
		}
		Map<String, List<Long>> units = new HashMap<>();
		this.caps.forEach((name, cap) -> {
			List<Long> ofCap = cap.unitsToRecord(now);
			if (ofCap.stream().anyMatch((sum) -> sum > 0)) {
				units.put(name, ofCap);
			}
		});
		return Optional.of(units);
	}

	private double grantableShare(long now) {
		this.earlierShares.removeIf((earlier) -> earlier.until() <= now);
		return this.earlierShares.stream().mapToDouble(EarlierShare::share).reduce(this.ownerShare, Math::min);
	}

	private OrganisationPolicy.Cap capPolicy(String organisation) {
		return (this.routes != null)
				? this.routes.organisationByName(organisation).map(OrganisationPolicy::cap).orElse(null) : null;
	}

	// Units in a window by rate and burst alone, without tolerance.
	private double guaranteedUnits(OrganisationPolicy.Cap cap) {
		return cap.unitsPerSecond() * this.bounds.capWindowMillis() / SECOND_MILLIS + cap.burstUnits();
	}

	// Most units that the owner grants in a window: rate, burst and tolerance, without
	// the slack that is reserved for hosts that cannot reach an owner.
	private double maxUnits(OrganisationPolicy.Cap cap) {
		return guaranteedUnits(cap) * (1 + this.bounds.capExcess())
				+ this.bounds.capSlack() * (1 - UNCOORDINATED_SHARE);
	}

	/**
	 * Merges a host's recent cap use, which replaces the use assumed for that host. Use
	 * that another owner has granted meanwhile counts in addition.
	 * @param host id of the host
	 * @param history recent use reported by the host
	 * @param hosts number of hosts that may have used the caps
	 * @param now monotonic time in milliseconds
	 */
	void mergeHistory(String host, CapHistory history, int hosts, long now) {
		Map<String, List<Long>> units = new HashMap<>();
		history.histories()
			.forEach((organisationHistory) -> units.put(organisationHistory.organisation(),
					organisationHistory.units()));
		this.caps.forEach((name, cap) -> {
			List<Long> hostUnits = units.getOrDefault(name, List.of());
			cap.applyReport(hostUnits, history.coveredMillis(), hosts, now);
			cap.addUseElsewhere(hostUnits, granted(host, name, now), history.coveredMillis(), now);
		});
		this.reported.add(host);
		this.reportedFrom = Math.min(this.reportedFrom, now - history.coveredMillis());
		if (this.reported.size() >= Math.round(this.ownerShare * hosts)) {
			this.earlierShares.clear();
		}
	}

	/**
	 * Gives back the units of a request that does not run.
	 * @param id id of the request
	 * @param now monotonic time in milliseconds
	 */
	void refund(String id, long now) {
		ChargedRequest charged = this.chargedRequests.remove(id);
		SlidingWindowCap cap = (charged != null) ? this.caps.get(charged.request().organisation()) : null;
		if (cap != null) {
			int units = charged.request().capUnits();
			cap.refund(units, charged.at(), now);
			granted(charged.host(), charged.request().organisation(), now).addAt(-units, charged.at(), now);
		}
	}

	/**
	 * Keeps the units of a request, which is decided.
	 * @param id id of the request
	 */
	void settle(String id) {
		this.chargedRequests.remove(id);
	}

	/**
	 * Sets the share of the caps that this owner may grant. A rise takes effect once the
	 * returned hosts have had time to report their use.
	 * @param newShare share of the known hosts that this one reaches, above 0 and up to 1
	 * @param now monotonic time in milliseconds
	 */
	void ownerShare(double newShare, long now) {
		if (newShare > this.ownerShare) {
			this.earlierShares.addLast(new EarlierShare(this.ownerShare, now + RETURN_REPORT_MILLIS));
		}
		this.ownerShare = newShare;
	}

	/**
	 * Removes the charged totals of a lost host. Recent grants are kept, since the host
	 * may return, and removed once they have left the window.
	 * @param host id of the host
	 * @param now monotonic time in milliseconds
	 */
	void onHostLost(String host, long now) {
		this.chargedTotals.remove(host);
		this.reported.remove(host);
		this.grantedUnits.values()
			.removeIf((units) -> units.values().stream().allMatch((counter) -> counter.totalUnits(now) == 0));
	}

	/**
	 * Resets the caps, since use under the previous owner is unknown until the hosts
	 * report it. Requests that were charged before are not refunded.
	 * @param now monotonic time in milliseconds
	 */
	void becomeOwner(long now) {
		this.ownerSince = now;
		this.caps.clear();
		this.chargedTotals.clear();
		this.chargedRequests.clear();
		this.grantedUnits.clear();
		this.earlierShares.clear();
		this.reported.clear();
		this.reportedFrom = Long.MAX_VALUE;
		this.record = null;
		this.ownerShare = 1;
		if (this.routes != null) {
			this.routes.organisations().forEach((organisation) -> cap(organisation.name(), now));
		}
	}

	/** Forgets all use and all requests. */
	void clear() {
		this.caps.clear();
		this.chargedTotals.clear();
		this.chargedRequests.clear();
		this.grantedUnits.clear();
	}

	/**
	 * Undecided request that was charged. Immutable.
	 *
	 * @param host id of the requesting host
	 * @param request the request
	 * @param at monotonic time in milliseconds at which it was charged
	 */
	private record ChargedRequest(String host, PlaceRequest request, long at) {

	}

	/**
	 * Share that holds for a while after it has risen. Immutable.
	 *
	 * @param share the lower share
	 * @param until monotonic time in milliseconds at which it no longer holds
	 */
	private record EarlierShare(double share, long until) {

	}

}
