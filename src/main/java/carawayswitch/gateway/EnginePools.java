package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import carawayswitch.message.EndpointLimit;
import carawayswitch.message.EngineReplaced;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.RouteTable;
import carawayswitch.route.ServicePolicy;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolRequest;
import carawayswitch.schedule.PoolScheduler;
import carawayswitch.schedule.ReplacedEndpoints;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Schedulers of the engine pools by service, with the engines of each. Invariant: a
 * scheduler knows the engines that the endpoint table, the versions in rollout and the
 * replaced starts allow as of the latest change of one of them. Confined to its
 * {@link PoolOwner}. Times are monotonic milliseconds.
 */
final class EnginePools {

	private final Map<String, PoolScheduler> schedulers = new HashMap<>();

	private final ReplacedEndpoints replacedEngines = new ReplacedEndpoints();

	private final PoolZoneTraffic zoneTraffic = new PoolZoneTraffic();

	private final VersionedPlaces places;

	/** Share of the limits of engines that may be granted. */
	private double ownerShare = 1;

	private RouteTable routes;

	private EndpointTable endpoints = EndpointTable.EMPTY;

	/**
	 * Creates pools without configuration.
	 * @param places chooses the engines that take part while versions are rolled out
	 */
	EnginePools(VersionedPlaces places) {
		this.places = places;
	}

	/**
	 * Replaces the configuration and the endpoint table.
	 * @param newRoutes the configuration, or null if none is known
	 * @param newEndpoints the endpoints
	 * @param now current time
	 */
	void updateConfiguration(RouteTable newRoutes, EndpointTable newEndpoints, long now) {
		this.routes = newRoutes;
		this.endpoints = newEndpoints;
		this.places.endpoints(newEndpoints);
		refresh(now);
	}

	/**
	 * Replaces the settings of the traffic between zones.
	 * @param settings price and time of the path, or null if a constant cost is in force
	 * @param now current time
	 */
	void zoneTraffic(ZoneTrafficSettings settings, long now) {
		this.zoneTraffic.settings(settings);
		refresh(now);
	}

	PoolZoneTraffic zoneTraffic() {
		return this.zoneTraffic;
	}

	/**
	 * Renews the engines of all pools.
	 * @param now current time
	 */
	void refresh(long now) {
		this.schedulers.forEach((service, scheduler) -> updateEngines(service, scheduler, now));
	}

	private void updateEngines(String service, PoolScheduler scheduler, long now) {
		List<PoolEngine> engines = engines(service, now);
		int tokensPerEvent = (this.routes != null)
				? this.routes.service(service).map(ServicePolicy::tokensPerEvent).orElse(1) : 1;
		scheduler.engines(engines);
		scheduler.crossZoneCost(this.zoneTraffic.update(service, engines, tokensPerEvent));
	}

	/**
	 * Returns the scheduler of a service, which is created if there is none.
	 * @param service name of the service
	 * @param now current time
	 * @return the scheduler
	 */
	PoolScheduler scheduler(String service, long now) {
		return this.schedulers.computeIfAbsent(service, (name) -> {
			PoolScheduler scheduler = new PoolScheduler();
			updateEngines(name, scheduler, now);
			return scheduler;
		});
	}

	void forEach(BiConsumer<String, PoolScheduler> action) {
		this.schedulers.forEach(action);
	}

	/**
	 * Returns the engines of a service that take work.
	 * @param service name of the service
	 * @param now current time
	 * @return the engines
	 */
	List<PoolEngine> engines(String service, long now) {
		long kvTokens = kvTokens(service);
		List<PoolEngine> engines = new ArrayList<>();
		for (EndpointEntry entry : this.places.engines(service, now)) {
			if (this.replacedEngines.contains(entry.start(), now)) {
				continue;
			}
			engines.add(engine(entry, kvTokens));
		}
		return engines;
	}

	private PoolEngine engine(EndpointEntry entry, long kvTokens) {
		return new PoolEngine(entry.id(), entry.version(), entry.zone(), entry.slots(), kvTokens);
	}

	private long kvTokens(String service) {
		return (this.routes != null) ? this.routes.service(service).map(ServicePolicy::kvTokens).orElse(0L) : 0;
	}

	/**
	 * Returns the start of an engine.
	 * @param engine id of the engine
	 * @return its start, or its id if it is not in the endpoint table
	 */
	String start(String engine) {
		EndpointEntry entry = this.endpoints.byId().get(engine);
		return (entry != null) ? entry.start() : engine;
	}

	/**
	 * Returns the zone of an engine.
	 * @param engine id of the engine
	 * @return its zone, or empty if it is not in the endpoint table
	 */
	String zone(String engine) {
		EndpointEntry entry = this.endpoints.byId().get(engine);
		return (entry != null) ? entry.zone() : "";
	}

	boolean accepting(String engine) {
		return this.endpoints.acceptingById(engine) != null;
	}

	void onReplaced(EngineReplaced message, long now) {
		this.replacedEngines.onReplaced(message.start(), now);
		updateEngines(message.service(), scheduler(message.service(), now), now);
	}

	/**
	 * Has engines take part again that no longer count as replaced.
	 * @param now current time
	 */
	void restoreReplaced(long now) {
		if (this.replacedEngines.removeExpired(now)) {
			refresh(now);
		}
	}

	void onLimitNamed(EndpointLimit message, long now) {
		PoolScheduler scheduler = scheduler(message.service(), now);
		scheduler.onLimitNamed(message.requestId(), message.endpoint(), message.requestsPerSecond(), now);
		scheduler.limitShare(this.ownerShare, now);
	}

	/**
	 * Sets the share of the limits of engines that may be granted.
	 * @param newShare share above 0 and up to 1
	 * @param now current time
	 */
	void ownerShare(double newShare, long now) {
		this.ownerShare = newShare;
		this.schedulers.values().forEach((scheduler) -> scheduler.limitShare(newShare, now));
	}

	/**
	 * Records a request that runs. An engine that takes no work now, since its version is
	 * not exposed or its start was replaced, may take some later.
	 * @param service name of the service
	 * @param request the request
	 * @param engine id of its engine
	 * @param now current time
	 */
	void adopt(String service, PoolRequest request, String engine, long now) {
		EndpointEntry entry = this.endpoints.byId().get(engine);
		if (entry != null) {
			scheduler(service, now).adopt(request, engine(entry, kvTokens(service)), now);
		}
		else {
			scheduler(service, now).adopt(request, engine, now);
		}
	}

	/** Forgets all requests. */
	void clear() {
		this.schedulers.clear();
		this.zoneTraffic.clear();
	}

	int waitingCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::waitingCount).sum();
	}

	int runningCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::runningCount).sum();
	}

}
