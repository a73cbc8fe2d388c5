package carawayswitch.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.zone.HostZoneTraffic;
import carawayswitch.zone.ShareChange;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Traffic between zones of the plain services at this host. Without settings every
 * endpoint is a candidate and no state is kept. Confined to the event loop thread. Times
 * are monotonic milliseconds.
 */
final class PlainZoneTraffic {

	private String ownZone;

	private final DecisionLog log;

	private final Supplier<EndpointTable> endpoints;

	private final Supplier<Map<String, Integer>> hostsByZone;

	private final Map<String, HostZoneTraffic> services = new HashMap<>();

	/** Price and time of the path, or null if the policy is off. */
	private ZoneTrafficSettings settings;

	PlainZoneTraffic(GatewaySettings settings, DecisionLog log, Supplier<EndpointTable> endpoints,
			Supplier<Map<String, Integer>> hostsByZone) {
		this.ownZone = settings.zone();
		this.settings = settings.zoneTraffic();
		this.log = log;
		this.endpoints = endpoints;
		this.hostsByZone = hostsByZone;
	}

	/**
	 * Replaces the settings.
	 * @param newSettings settings of the host
	 */
	void settings(GatewaySettings newSettings) {
		this.settings = newSettings.zoneTraffic();
		if (this.settings == null || !newSettings.zone().equals(this.ownZone)) {
			this.services.clear();
		}
		this.ownZone = newSettings.zone();
		this.services.values().forEach((service) -> service.policy().settings(this.settings));
	}

	/**
	 * Returns the candidates from which an endpoint is to be chosen if one of them works.
	 * @param service name of the service
	 * @param candidates ids of all candidates
	 * @param attempt id of the attempt
	 * @param requestBytes bytes of the request
	 * @param now monotonic time in milliseconds
	 * @return ids of the preferred candidates
	 */
	Collection<String> preferred(String service, List<String> candidates, String attempt, long requestBytes, long now) {
		if (this.settings == null) {
			return candidates;
		}
		HostZoneTraffic traffic = this.services.computeIfAbsent(service,
				(name) -> new HostZoneTraffic(this.ownZone, this.settings));
		Map<String, Integer> slots = new HashMap<>();
		this.endpoints.get()
			.accepting(service)
			.stream()
			.filter((entry) -> candidates.contains(entry.id()))
			.forEach((entry) -> slots.merge(entry.zone(), Math.max(1, entry.slots()), Integer::sum));
		traffic.supply(slots, this.hostsByZone.get());
		String zone = traffic.chooseZone(attempt, requestBytes, now);
		traffic.policy()
			.takeChanges()
			.stream()
			.filter((change) -> change.zone().equals(this.ownZone))
			.forEach((change) -> log(this.log, service, change));
		return zone.isEmpty() ? candidates
				: candidates.stream().filter((endpoint) -> zone.equals(zoneOf(endpoint))).toList();
	}

	private String zoneOf(String endpoint) {
		EndpointEntry entry = this.endpoints.get().byId().get(endpoint);
		return (entry != null) ? entry.zone() : "";
	}

	void onSent(EndpointEntry endpoint, String attempt, long now) {
		HostZoneTraffic traffic = this.services.get(endpoint.service());
		if (traffic != null) {
			traffic.onSent(attempt, endpoint.zone(), now);
		}
	}

	void onEnded(EndpointEntry endpoint, String attempt, boolean answered, long now) {
		HostZoneTraffic traffic = this.services.get(endpoint.service());
		if (traffic != null) {
			traffic.onEnded(attempt, answered, now);
		}
	}

	/**
	 * Records the size of an answer, from which the size of later ones is expected.
	 * @param service name of the service
	 * @param bytes size of the answer in bytes
	 */
	void onAnswer(String service, long bytes) {
		HostZoneTraffic traffic = this.services.get(service);
		if (traffic != null) {
			traffic.onAnswer(bytes);
		}
	}

	static void log(DecisionLog log, String service, ShareChange change) {
		log.write(LogEvent.ZONE_TRAFFIC_CHANGED, "service", service, "zone", change.zone(), "change",
				change.kind().label(), "share", round(change.share()), "load", round(change.load()), "gain_ms",
				round(change.gainMillis()), "cost_ms", round(change.costMillis()));
	}

	private static Object round(double value) {
		return Double.isInfinite(value) ? "none" : Math.round(value * 100) / 100.0;
	}

}
