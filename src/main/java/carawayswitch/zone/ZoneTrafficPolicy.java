package carawayswitch.zone;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides for one service when leaving the availability zone pays and how much work is
 * sent. Each zone's shortage is derived from the work that its hosts offer, wherever that
 * work runs, and from the capacity of its endpoints. The decisions change these inputs
 * only through the work that waits, so that there is no loop that could oscillate.
 * Invariants:
 * <ul>
 * <li>All zones together send no more work than the zones with room can take, except for
 * zones without endpoints.</li>
 * <li>A zone's share changes by a bounded amount per second, unless the zone has no
 * endpoints.</li>
 * <li>Work that leaves is spread over the zones in proportion to their room.</li>
 * </ul>
 * Times are milliseconds. Does no I/O. Not safe for use by several threads.
 *
 * <pre>
 * policy.supply(Map.of("a", 8, "b", 16));
 * policy.onOffered("r1", "a", new WorkSize(300, 2000), now);
 * Departure departure = policy.decide("r1", "a", new WorkSize(300, 2000), now);
 * policy.onDispatched("r1", "b", now);
 * policy.onEnded("r1", true, now + 280);
 * </pre>
 */
public final class ZoneTrafficPolicy {

	/** Load up to which zones take the work of others, and send their own. */
	static final double TARGET_LOAD = 0.8;

	/** Time in milliseconds between two updates of the shares. */
	static final long UPDATE_MILLIS = 50;

	/** Largest wait in milliseconds that leaving is assumed to save. */
	static final double MAX_GAIN_MILLIS = 500;

	/**
	 * Share of the cost below which leaving no longer pays while a zone sends work away;
	 * hysteresis.
	 */
	static final double STOP_COST_SHARE = 0.5;

	/**
	 * Load above that of the other zones at which a zone begins to send work away. Zones
	 * that are loaded alike would only exchange their work; the difference of two such
	 * loads has a noise of about a tenth.
	 */
	static final double BEGIN_DIFFERENCE = 0.2;

	/** Load above that of the other zones below which a zone stops. */
	static final double STOP_DIFFERENCE = 0.1;

	/** Smallest share of the work for which leaving pays at which a zone sends any. */
	static final double MIN_PAYING_SHARE = 0.02;

	/** Factors by which work that is short or long gains less or more. */
	static final double MIN_LENGTH_FACTOR = 0.5;

	static final double MAX_LENGTH_FACTOR = 2;

	/** Smallest rate and capacity by which others are divided. */
	private static final double MIN_RATE = 1e-9;

	/** Change of the share from which it is reported. */
	static final double REPORTED_CHANGE = 0.1;

	/** Most work whose end is awaited; the oldest is evicted. */
	private static final int MAX_TRACKED = 10_000;

	private static final int MAX_REPORTS = 100;

	private ZoneTrafficSettings settings;

	private final Map<String, ZoneState> zones = new TreeMap<>();

	private final Map<String, Tracked> tracked = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Tracked> eldest) {
			boolean full = size() > MAX_TRACKED;
			if (full) {
				eldest.getValue().stopWaiting();
			}
			return full;
		}
	};

	private final ZoneLoad.Mean serviceFactor = new ZoneLoad.Mean(ZoneLoad.STEADY_WEIGHT);

	private final List<ShareChange> changes = new ArrayList<>();

	private long updatedAt = Long.MIN_VALUE;

	/**
	 * Creates a policy without zones.
	 * @param settings price and time of the path
	 */
	public ZoneTrafficPolicy(ZoneTrafficSettings settings) {
		this.settings = settings;
	}

	/**
	 * Replaces the settings; shares move on from where they are.
	 * @param newSettings price and time of the path
	 */
	public void settings(ZoneTrafficSettings newSettings) {
		this.settings = newSettings;
	}

	/**
	 * Replaces the capacity of the zones.
	 * @param slots slots of the endpoints that accept work, by zone
	 */
	public void supply(Map<String, Integer> slots) {
		slots.keySet().forEach(this::zone);
		this.zones.forEach((name, zone) -> zone.load.slots(slots.getOrDefault(name, 0)));
	}

	/**
	 * Sets the work that a zone offers whose requests are not reported.
	 * @param zone name of the zone
	 * @param unitsPerMilli units per millisecond
	 */
	public void assume(String zone, double unitsPerMilli) {
		zone(zone).load.assume(unitsPerMilli);
	}

	/**
	 * Records that work has arrived.
	 * @param id id of the work
	 * @param zone zone of its host
	 * @param size its size
	 * @param now time in milliseconds
	 */
	public void onOffered(String id, String zone, WorkSize size, long now) {
		onOffered(id, zone, size, 1, now);
	}

	/**
	 * Records that work has arrived at one of several hosts that are assumed to get the
	 * same.
	 * @param id id of the work
	 * @param zone zone of its host
	 * @param size its size
	 * @param hosts number of the hosts
	 * @param now time in milliseconds
	 */
	public void onOffered(String id, String zone, WorkSize size, int hosts, long now) {
		if (this.tracked.containsKey(id)) {
			return;
		}
		ZoneState origin = zone(zone);
		origin.load.onOffered(size.units(), hosts, size.bytes(), now);
		this.tracked.put(id, new Tracked(origin, size));
		update(now);
		origin.payingShare.add(pays(origin, size) ? 1 : 0);
	}

	/**
	 * Records that work runs.
	 * @param id id of the work
	 * @param zone zone of the endpoint
	 * @param now time in milliseconds
	 */
	public void onDispatched(String id, String zone, long now) {
		Tracked work = this.tracked.get(id);
		if (work != null) {
			work.stopWaiting();
			work.runsIn = zone(zone);
			work.dispatchedAt = now;
		}
	}

	/**
	 * Records the end of work, or that it was withdrawn or rejected.
	 * @param id id of the work
	 * @param answered true if it has run to its end
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, boolean answered, long now) {
		Tracked work = this.tracked.remove(id);
		if (work == null) {
			return;
		}
		work.stopWaiting();
		if (answered && work.runsIn != null) {
			double ratio = (now - work.dispatchedAt) / work.size.units();
			work.runsIn.load.onMeasured(ratio, now);
			this.serviceFactor.add(ratio);
		}
	}

	private double factor() {
		return this.serviceFactor.known() ? this.serviceFactor.value() : 1;
	}

	private ZoneState zone(String name) {
		return this.zones.computeIfAbsent(name, ZoneState::new);
	}

	private void update(long now) {
		if (this.updatedAt != Long.MIN_VALUE && now - this.updatedAt < UPDATE_MILLIS) {
			return;
		}
		long elapsed = (this.updatedAt != Long.MIN_VALUE) ? now - this.updatedAt : 0;
		this.updatedAt = now;
		this.zones.values().forEach((zone) -> zone.measure(factor(), now));
		ZoneTotals totals = new ZoneTotals(this.zones.values());
		double meanWait = 0;
		for (ZoneState zone : this.zones.values()) {
			zone.weight = (totals.room > 0) ? zone.room / totals.room
					: zone.capacity / Math.max(MIN_RATE, totals.capacity);
			meanWait += (zone.capacity > 0) ? zone.weight * zone.waitMillis : 0;
		}
		for (ZoneState zone : this.zones.values()) {
			update(zone, totals, meanWait, elapsed);
			report(zone);
		}
	}

	private void update(ZoneState zone, ZoneTotals totals, double meanWait, long elapsed) {
		double otherCapacity = totals.capacity - zone.capacity;
		if (zone.capacity <= 0) {
			zone.gainMillis = MAX_GAIN_MILLIS;
			zone.control.update(Double.POSITIVE_INFINITY, true, (otherCapacity > 0) ? 1 : 0, elapsed);
			return;
		}
		double load = zone.rate / zone.capacity;
		double difference = load - (totals.rate - zone.rate) / Math.max(MIN_RATE, otherCapacity);
		boolean room = totals.room > 0 && difference >= (zone.control.sending() ? STOP_DIFFERENCE : BEGIN_DIFFERENCE);
		zone.gainMillis = room ? Math.max(0, Math.min(MAX_GAIN_MILLIS, zone.waitMillis - meanWait)) : 0;
		double paying = zone.payingShare.value();
		double target = zone.excess * totals.served() / Math.max(MIN_RATE, zone.rate)
				/ Math.max(MIN_PAYING_SHARE, paying);
		zone.control.update(load, room && paying >= MIN_PAYING_SHARE, Math.min(1, target), elapsed);
	}

	private void report(ZoneState zone) {
		double share = zone.control.share();
		boolean begun = zone.reportedShare == 0 && share > 0;
		boolean stopped = zone.reportedShare > 0 && share == 0;
		if ((begun || stopped || Math.abs(share - zone.reportedShare) >= REPORTED_CHANGE)
				&& this.changes.size() < MAX_REPORTS) {
			zone.reportedShare = share;
			this.changes.add(new ShareChange(zone.name,
					begun ? ShareChange.Kind.BEGAN : stopped ? ShareChange.Kind.STOPPED : ShareChange.Kind.CHANGED,
					share, (zone.capacity > 0) ? zone.rate / zone.capacity : Double.POSITIVE_INFINITY, zone.gainMillis,
					this.settings.costMillis(zone.load.meanBytes())));
		}
	}

	// Whether leaving pays for work of a zone. Long work frees more of the zone's slots,
	// so that it gains more.
	private boolean pays(ZoneState zone, WorkSize size) {
		double margin = zone.control.sending() ? STOP_COST_SHARE : 1;
		return zone.capacity <= 0 || gainMillis(zone, size) > this.settings.costMillis(size.bytes()) * margin;
	}

	private static double gainMillis(ZoneState zone, WorkSize size) {
		double length = size.units() / zone.load.meanUnits();
		return zone.gainMillis * Math.max(MIN_LENGTH_FACTOR, Math.min(MAX_LENGTH_FACTOR, length));
	}

	/**
	 * Decides whether work leaves its zone.
	 * @param id id of the work; the same id gets the same decision while the shares stay
	 * as they are
	 * @param zone zone of its host
	 * @param size its size
	 * @param now time in milliseconds
	 * @return the decision
	 */
	public Departure decide(String id, String zone, WorkSize size, long now) {
		update(now);
		ZoneState origin = zone(zone);
		boolean pays = pays(origin, size);
		String target = (pays && fraction(id, 1) < origin.control.share()) ? target(origin, fraction(id, 2)) : "";
		return new Departure(target, this.settings.costMillis(size.bytes()), gainMillis(origin, size), pays);
	}

	// Chooses another zone at random in proportion to the weights.
	private String target(ZoneState origin, double random) {
		double rest = random * this.zones.values()
			.stream()
			.filter((zone) -> zone != origin)
			.mapToDouble((zone) -> zone.weight)
			.sum();
		String last = "";
		for (ZoneState zone : this.zones.values()) {
			if (zone != origin && zone.weight > 0) {
				last = zone.name;
				rest -= zone.weight;
				if (rest <= 0) {
					break;
				}
			}
		}
		return last;
	}

	// Uniform number from 0 to 1 that depends on the id only (finalizer of SplitMix64).
	private static double fraction(String id, int salt) {
		long mixed = (id.hashCode() + 0x9E3779B97F4A7C15L * salt) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53;
	}

	/**
	 * Returns the share of a zone's work that may leave now.
	 * @param zone name of the zone
	 * @param now time in milliseconds
	 * @return 0 to 1
	 */
	public double share(String zone, long now) {
		update(now);
		return zone(zone).control.share();
	}

	/**
	 * Returns whether the zone's own endpoints accept work.
	 * @param zone name of the zone
	 * @return true if there are some
	 */
	public boolean hasEndpoints(String zone) {
		return zone(zone).load.slots() > 0;
	}

	/**
	 * Returns the ratio of measured to assumed slot time of a zone's endpoints if it was
	 * measured within the last seconds.
	 * @param zone name of the zone
	 * @param now time in milliseconds
	 * @return the ratio, or a negative number
	 */
	double recentFactor(String zone, long now) {
		return zone(zone).load.recentFactor(now);
	}

	/**
	 * Replaces the wait at a zone's endpoints that is derived from its load.
	 * @param zone name of the zone
	 * @param millis measured wait in milliseconds, or a negative number to derive it
	 * @param idleFactor ratio of measured to assumed slot time of idle endpoints, which
	 * counts while none was measured recently
	 */
	void measuredWait(String zone, double millis, double idleFactor) {
		zone(zone).measuredWaitMillis = millis;
		zone(zone).load.assumeFactor(idleFactor);
	}

	/**
	 * Returns the changes of shares since the last call, for the log.
	 * @return the changes in their order
	 */
	public List<ShareChange> takeChanges() {
		List<ShareChange> taken = List.copyOf(this.changes);
		this.changes.clear();
		return taken;
	}

	/**
	 * Work that waits or runs. Confined to its policy.
	 */
	private static final class Tracked {

		final ZoneState origin;

		final WorkSize size;

		boolean waiting = true;

		ZoneState runsIn;

		long dispatchedAt;

		Tracked(ZoneState origin, WorkSize size) {
			this.origin = origin;
			this.size = size;
		}

		void stopWaiting() {
			if (this.waiting) {
				this.waiting = false;
				this.origin.load.onNoLongerWaiting(this.size.units());
			}
		}

	}

}
