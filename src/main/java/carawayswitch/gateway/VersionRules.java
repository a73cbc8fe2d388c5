package carawayswitch.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import carawayswitch.message.VersionShare;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.rollout.RolloutState;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;

/**
 * Derives the {@link VersionGate} of a host from the orders and the progress that it has
 * read, the shares that the owner of the pools has sent, and the registered versions.
 * Times are monotonic milliseconds. Does no I/O. Not thread-safe.
 */
final class VersionRules {

	/**
	 * Time without a message of the owner after which nothing begins at a target version.
	 */
	static final long OWNER_LOST_MILLIS = 1000;

	private final Map<String, RolloutOrder> orders = new HashMap<>();

	private final Map<String, RolloutProgress> progress = new HashMap<>();

	private final Map<String, Received> shares = new HashMap<>();

	/** Versions of each service that have been seen, with endpoints or without now. */
	private final Map<String, Set<String>> known = new HashMap<>();

	/** Time at which each new version was seen that awaits a read of the orders. */
	private final Map<String, Map<String, Long>> unconfirmed = new HashMap<>();

	private Map<String, Set<String>> registered = Map.of();

	private boolean ordersLoaded;

	private boolean progressLoaded;

	private boolean endpointsSeen;

	private boolean started;

	/**
	 * Takes over a read of the orders.
	 * @param entries orders that have changed, by service
	 * @param confirmedAt time up to which the read covers the orders
	 * @param storeEpoch epoch of the store that was read
	 */
	void onOrders(Map<String, Optional<RolloutOrder>> entries, long confirmedAt, long storeEpoch) {
		this.ordersLoaded = true;
		entries.forEach(
				(service, order) -> order.ifPresent((present) -> this.orders.put(service, present.readIn(storeEpoch))));
		this.unconfirmed.values().forEach((versions) -> versions.values().removeIf((seenAt) -> seenAt < confirmedAt));
		this.unconfirmed.values().removeIf(Map::isEmpty);
		updateStarted();
	}

	void onProgressLoaded() {
		this.progressLoaded = true;
		updateStarted();
	}

	void onProgress(RolloutProgress latest) {
		this.progress.put(latest.service(), latest);
	}

	/**
	 * Takes over shares that the owner has sent, unless later ones are known.
	 * @param message the shares
	 * @param now current time
	 */
	void onShare(VersionShare message, long now) {
		Received before = this.shares.get(message.service());
		if (before == null || before.share.revision() <= message.revision()) {
			this.shares.put(message.service(), new Received(message, now));
		}
	}

	/**
	 * Replaces the endpoints. A version that its service did not have before gets nothing
	 * until the orders were read after it was seen.
	 * @param endpoints the endpoints
	 * @param now current time
	 */
	void onEndpoints(EndpointTable endpoints, long now) {
		this.registered = endpoints.byId()
			.values()
			.stream()
			.collect(Collectors.groupingBy(EndpointEntry::service,
					Collectors.mapping(EndpointEntry::version, Collectors.toSet())));
		this.registered.forEach((service, versions) -> {
			Set<String> before = this.known.computeIfAbsent(service, (name) -> new HashSet<>());
			// At the first endpoints of a host that has just started it is not known
			// which versions are new. The only version of a service is exempt, since no
			// other could serve instead.
			boolean exempt = !this.endpointsSeen && versions.size() == 1;
			for (String version : versions) {
				if (before.add(version) && !exempt) {
					this.unconfirmed.computeIfAbsent(service, (name) -> new HashMap<>()).put(version, now);
				}
			}
		});
		this.endpointsSeen |= !this.registered.isEmpty();
		updateStarted();
	}

	private void updateStarted() {
		this.started |= this.ordersLoaded && this.progressLoaded && this.endpointsSeen && this.unconfirmed.isEmpty();
	}

	/**
	 * Returns whether requests may begin. A host that has just started first has the
	 * versions confirmed that it finds.
	 * @return true once all was read
	 */
	boolean loaded() {
		return this.started;
	}

	boolean awaitsOrders() {
		return !this.unconfirmed.isEmpty();
	}

	Map<String, RolloutOrder> orders() {
		return this.orders;
	}

	Set<String> registered(String service) {
		return this.registered.getOrDefault(service, Set.of());
	}

	/**
	 * Returns the latest known state of the rollout of a service.
	 * @param service name of the service
	 * @return the state, or null if there is no rollout
	 */
	VersionShare latest(String service) {
		RolloutProgress stored = this.progress.get(service);
		Received received = this.shares.get(service);
		if (received != null && (stored == null || overrides(received.share, stored))) {
			return received.share;
		}
		return (stored != null) ? new VersionShare(service, stored.rollout(), stored.target(), stored.state().label(),
				0, stored.revision()) : null;
	}

	private static boolean overrides(VersionShare share, RolloutProgress stored) {
		return share.revision() > stored.revision()
				|| share.revision() == stored.revision() && share.state().equals(stored.state().label());
	}

	/**
	 * Returns whether the owner awaits reports on a service.
	 * @param service name of the service
	 * @param now current time
	 * @return true if a rollout runs or the owner has just sent its share
	 */
	boolean reported(String service, long now) {
		VersionShare latest = latest(service);
		Received received = this.shares.get(service);
		return latest != null && (latest.state().equals(RolloutState.RUNNING.label())
				|| received != null && now - received.at < OWNER_LOST_MILLIS);
	}

	Set<String> services() {
		Set<String> services = new HashSet<>(this.progress.keySet());
		services.addAll(this.orders.keySet());
		services.addAll(this.shares.keySet());
		return services;
	}

	/**
	 * Creates the gate.
	 * @param now current time
	 * @return the gate
	 */
	VersionGate gate(long now) {
		Map<String, VersionGate.Rule> rules = new HashMap<>();
		Set<String> services = services();
		services.addAll(this.unconfirmed.keySet());
		services.forEach((service) -> {
			VersionGate.Rule rule = rule(service, now);
			if (!rule.target().isEmpty() || !rule.blocked().isEmpty()) {
				rules.put(service, rule);
			}
		});
		return new VersionGate(loaded(), rules);
	}

	private VersionGate.Rule rule(String service, long now) {
		Set<String> blocked = new HashSet<>(this.unconfirmed.getOrDefault(service, Map.of()).keySet());
		VersionShare latest = latest(service);
		RolloutProgress stored = this.progress.get(service);
		Set<String> retired = new HashSet<>((stored != null) ? stored.retired() : Set.of());
		RolloutOrder order = this.orders.get(service);
		boolean otherOrder = order != null && (stored == null || !stored.outdates(order))
				&& (latest == null || !latest.target().equals(order.target()));
		if (otherOrder) {
			blocked.add(order.target());
		}
		if (latest == null) {
			return new VersionGate.Rule("", 0, now, blocked);
		}
		retired.remove(latest.target());
		String target = "";
		switch (RolloutState.of(latest.state()).orElse(RolloutState.ROLLED_BACK)) {
			case RUNNING -> {
				if (otherOrder) {
					blocked.add(latest.target());
				}
				else {
					target = latest.target();
				}
			}
			case ROLLED_BACK -> blocked.add(latest.target());
			case COMPLETED -> retired.addAll((stored != null && stored.revision() >= latest.revision())
					? stored.replaced() : others(service, latest.target()));
		}
		blockRetired(service, target, retired, blocked);
		long until = target.isEmpty() ? now : receivedAt(service) + OWNER_LOST_MILLIS;
		return new VersionGate.Rule(target, latest.share(), until, blocked);
	}

	// A version that was replaced earlier serves again if operators have gone back to it
	// without an order, so that no other one has endpoints.
	private void blockRetired(String service, String target, Set<String> retired, Set<String> blocked) {
		boolean otherServes = registered(service).stream()
			.anyMatch((version) -> !retired.contains(version) && !blocked.contains(version) && !version.equals(target));
		if (otherServes || !target.isEmpty()) {
			blocked.addAll(retired);
		}
	}

	private Set<String> others(String service, String target) {
		Set<String> others = new HashSet<>(registered(service));
		others.remove(target);
		return others;
	}

	private long receivedAt(String service) {
		Received received = this.shares.get(service);
		return (received != null) ? received.at : Long.MIN_VALUE / 2;
	}

	/**
	 * Share with the time at which it was received. Immutable.
	 *
	 * @param share the share
	 * @param at time of its arrival
	 */
	private record Received(VersionShare share, long at) {

	}

}
