package carawayswitch.zone;

import java.util.HashMap;
import java.util.Map;

/**
 * Applies a {@link ZoneTrafficPolicy} to one plain service at one host. A host sees only
 * its own requests: it assumes that the other hosts of its zone get as many, and that
 * hosts of other zones get as many as it does on average. Whether leaving pays is derived
 * from the measured durations at the endpoints of each zone while they are recent, so
 * that a wrong assumption causes no traffic that saves nothing. Times are milliseconds.
 * Does no I/O. Not safe for use by several threads.
 */
public final class HostZoneTraffic {

	/**
	 * Time constant of the average rate that is assumed for other zones; longer than the
	 * bursts of 3 to 6 s.
	 */
	static final double AVERAGE_MILLIS = 30_000;

	/** Shortest time of observation from which the average rate is derived. */
	private static final double MIN_OBSERVED_MILLIS = 3000;

	/**
	 * Growth per second of the shortest known duration, so that it follows a service that
	 * has become slower for good.
	 */
	private static final double BASE_GROWTH_PER_SECOND = 0.01;

	private static final double SECOND_MILLIS = 1000;

	private final String ownZone;

	private final ZoneTrafficPolicy policy;

	private Map<String, Integer> slots = Map.of();

	private Map<String, Integer> hosts = Map.of();

	/** Zones of the requests that this host has in flight, by id. */
	private final Map<String, String> inFlight = new HashMap<>();

	private int inFlightAtHome;

	private final DecayingRate averageRate = new DecayingRate(AVERAGE_MILLIS, MIN_OBSERVED_MILLIS);

	private long baseGrownAt;

	private final ZoneLoad.Mean answerBytes = new ZoneLoad.Mean(ZoneLoad.STEADY_WEIGHT);

	/** Shortest recent ratio of measured to assumed time. */
	private double baseFactor = Double.MAX_VALUE;

	/**
	 * Creates the state of one service.
	 * @param ownZone zone of this host
	 * @param settings price and time of the path
	 */
	public HostZoneTraffic(String ownZone, ZoneTrafficSettings settings) {
		this.ownZone = ownZone;
		this.policy = new ZoneTrafficPolicy(settings);
	}

	/**
	 * Returns the policy.
	 * @return the policy of the service
	 */
	public ZoneTrafficPolicy policy() {
		return this.policy;
	}

	/**
	 * Replaces the endpoints and the hosts that share them.
	 * @param newSlots slots of the endpoints that accept work, by zone
	 * @param newHosts number of live hosts by zone
	 */
	public void supply(Map<String, Integer> newSlots, Map<String, Integer> newHosts) {
		this.slots = Map.copyOf(newSlots);
		this.hosts = Map.copyOf(newHosts);
		this.policy.supply(newSlots);
	}

	/**
	 * Chooses the zone from whose endpoints one is to be chosen.
	 * @param id id of the request
	 * @param requestBytes bytes of the request
	 * @param now time in milliseconds
	 * @return name of the zone, or empty if every endpoint may be chosen
	 */
	public String chooseZone(String id, double requestBytes, long now) {
		WorkSize size = WorkSize.ofPlainRequest(requestBytes + this.answerBytes.value());
		recordAverage(size.units(), now);
		this.slots.keySet().forEach((zone) -> update(zone, now));
		this.policy.onOffered(id, this.ownZone, size, hosts(this.ownZone), now);
		// Plain requests wait at endpoints only.
		this.policy.onDispatched(id, this.ownZone, now);
		Departure departure = this.policy.decide(id, this.ownZone, size, now);
		if (!departure.target().isEmpty()) {
			return departure.target();
		}
		boolean room = this.policy.hasEndpoints(this.ownZone)
				&& this.inFlightAtHome < this.slots.getOrDefault(this.ownZone, 0);
		return room ? this.ownZone : "";
	}

	/**
	 * Records the size of an answer.
	 * @param bytes size in bytes
	 */
	public void onAnswer(double bytes) {
		this.answerBytes.add(bytes);
	}

	private int hosts(String zone) {
		return Math.max(1, this.hosts.getOrDefault(zone, 0));
	}

	private void recordAverage(double units, long now) {
		this.averageRate.add(units, now);
		if (this.baseFactor < Double.MAX_VALUE) {
			double elapsed = Math.max(0, now - this.baseGrownAt);
			this.baseFactor *= 1 + BASE_GROWTH_PER_SECOND * elapsed / SECOND_MILLIS;
		}
		this.baseGrownAt = now;
	}

	private void update(String zone, long now) {
		if (!zone.equals(this.ownZone)) {
			this.policy.assume(zone, this.averageRate.perMilli(now) * this.hosts.getOrDefault(zone, 0));
		}
		double factor = this.policy.recentFactor(zone, now);
		if (factor >= 0) {
			this.baseFactor = Math.min(this.baseFactor, factor);
		}
		this.policy.measuredWait(zone, (factor >= 0) ? (factor - this.baseFactor) * WorkSize.PLAIN_UNITS : -1,
				(this.baseFactor < Double.MAX_VALUE) ? this.baseFactor : 0);
	}

	/**
	 * Records that a request was sent.
	 * @param id id of the request
	 * @param zone zone of the endpoint
	 * @param now time in milliseconds
	 */
	public void onSent(String id, String zone, long now) {
		if (this.inFlight.put(id, zone) == null && zone.equals(this.ownZone)) {
			this.inFlightAtHome++;
		}
		this.policy.onDispatched(id, zone, now);
	}

	/**
	 * Records the end of a request.
	 * @param id id of the request
	 * @param answered true if the answer was complete
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, boolean answered, long now) {
		if (this.ownZone.equals(this.inFlight.remove(id))) {
			this.inFlightAtHome--;
		}
		this.policy.onEnded(id, answered, now);
	}

}
