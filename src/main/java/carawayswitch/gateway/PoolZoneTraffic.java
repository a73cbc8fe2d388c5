package carawayswitch.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import carawayswitch.schedule.CrossZoneCost;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolRequest;
import carawayswitch.zone.EngineZoneTraffic;
import carawayswitch.zone.ShareChange;
import carawayswitch.zone.ZoneTrafficPolicy;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Traffic between zones of the engine pools of one {@link PoolOwner}. Without settings it
 * keeps no state and the scheduler's constant is in force. All state is soft: a new owner
 * knows the load after about a second. Does no I/O. Not safe for use by several threads.
 * Times are monotonic milliseconds.
 */
final class PoolZoneTraffic {

	private final Map<String, EngineZoneTraffic> pools = new HashMap<>();

	/** Price and time of the path, or null if the policy is off. */
	private ZoneTrafficSettings settings;

	/**
	 * Replaces the settings. The costs of all pools must be renewed with {@link #update}.
	 * @param newSettings price and time of the path, or null to turn the policy off
	 */
	void settings(ZoneTrafficSettings newSettings) {
		this.settings = newSettings;
		if (newSettings == null) {
			this.pools.clear();
		}
		this.pools.values().forEach((pool) -> pool.policy().settings(newSettings));
	}

	/**
	 * Replaces the engines of a pool.
	 * @param service name of the service
	 * @param engines engines that accept work
	 * @param tokensPerEvent number of tokens in an event of the service
	 * @return the cost of engines in another zone
	 */
	CrossZoneCost update(String service, List<PoolEngine> engines, int tokensPerEvent) {
		if (this.settings == null) {
			return CrossZoneCost.CONSTANT;
		}
		EngineZoneTraffic pool = this.pools.computeIfAbsent(service,
				(name) -> new EngineZoneTraffic(new ZoneTrafficPolicy(this.settings)));
		pool.engines(engines, tokensPerEvent);
		return pool;
	}

	void onOffered(String service, PoolRequest request, long now) {
		EngineZoneTraffic pool = this.pools.get(service);
		if (pool != null) {
			pool.onOffered(request, now);
		}
	}

	void onDispatched(String service, String id, String zone, long now) {
		EngineZoneTraffic pool = this.pools.get(service);
		if (pool != null) {
			pool.onDispatched(id, zone, now);
		}
	}

	void onEnded(String service, String id, boolean answered, long now) {
		EngineZoneTraffic pool = this.pools.get(service);
		if (pool != null) {
			pool.onEnded(id, answered, now);
		}
	}

	/**
	 * Passes on the changes of shares since the last call.
	 * @param consumer receives the name of the service and the change
	 */
	void takeChanges(BiConsumer<String, ShareChange> consumer) {
		this.pools.forEach(
				(service, pool) -> pool.policy().takeChanges().forEach((change) -> consumer.accept(service, change)));
	}

	/** Forgets all pools. */
	void clear() {
		this.pools.clear();
	}

}
