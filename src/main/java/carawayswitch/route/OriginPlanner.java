package carawayswitch.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which entries of the {@link OriginTable} are to be stored, changed and removed
 * as versions come and go. Invariants: at most one origin of a route is established
 * without having been new; an entry is removed only when the unrecorded streams that
 * began at its origin are over. Times are milliseconds. Not thread-safe.
 */
public final class OriginPlanner {

	/**
	 * Time for which an origin is new. Until then a stream that began before it came can
	 * be taken up without a record; most clients wait for less.
	 */
	static final long ESTABLISH_AFTER_MILLIS = 20_000;

	/**
	 * Time without an endpoint after which an origin is retired; registrations of live
	 * endpoints that expired in an outage of the store are back sooner.
	 */
	static final long RETIRE_AFTER_MILLIS = 30_000;

	/**
	 * Largest age of a table by which a new stream may begin: a host that has not read
	 * for longer may not know of retired origins. Longer than most outages of the store.
	 */
	public static final long MAX_AGE_MILLIS = 600_000;

	/** Time without an endpoint after which an origin is removed that is not in use. */
	static final long REMOVE_AFTER_MILLIS = RETIRE_AFTER_MILLIS + MAX_AGE_MILLIS + OriginTable.MAX_UNRECORDED_MILLIS;

	/** Time since which each entry has been in its state with or without an endpoint. */
	private final Map<Observed, Long> since = new HashMap<>();

	/**
	 * Compares the stored entries with what serves.
	 * @param routes the configuration
	 * @param endpoints the registered endpoints
	 * @param stored the stored entries
	 * @param now current time
	 * @return the changes, to be stored
	 */
	public Changes plan(RouteTable routes, EndpointTable endpoints, OriginTable stored, long now) {
		List<OriginEntry> puts = new ArrayList<>();
		List<OriginEntry> removals = new ArrayList<>();
		Map<String, Set<StreamOrigin>> serving = serving(routes, endpoints);
		Set<Observed> observed = new HashSet<>();
		for (OriginEntry entry : stored.entries()) {
			boolean serves = serving.getOrDefault(entry.route(), Set.of()).contains(entry.origin());
			Observed observation = new Observed(entry, serves);
			observed.add(observation);
			long millis = now - this.since.computeIfAbsent(observation, (key) -> now);
			if (serves && becomesEstablished(entry, millis)) {
				puts.add(entry.withState(OriginEntry.State.ESTABLISHED));
			}
			else if (!serves && entry.state() == OriginEntry.State.ESTABLISHED && millis >= RETIRE_AFTER_MILLIS) {
				puts.add(entry.withState(OriginEntry.State.RETIRED));
			}
			else if (!serves && entry.state() != OriginEntry.State.ESTABLISHED && millis >= REMOVE_AFTER_MILLIS) {
				removals.add(entry);
			}
		}
		this.since.keySet().retainAll(observed);
		serving.forEach((route, origins) -> puts.addAll(missing(route, origins, stored)));
		return new Changes(puts, removals);
	}

	private static boolean becomesEstablished(OriginEntry entry, long servingMillis) {
		return switch (entry.state()) {
			case NEW -> servingMillis >= ESTABLISH_AFTER_MILLIS;
			case ESTABLISHED -> false;
			case RETIRED -> true;
		};
	}

	private static List<OriginEntry> missing(String route, Set<StreamOrigin> origins, OriginTable stored) {
		Set<StreamOrigin> known = stored.entries(route).keySet();
		List<OriginEntry> missing = new ArrayList<>();
		for (StreamOrigin origin : origins) {
			if (!known.contains(origin)) {
				boolean first = known.isEmpty() && missing.isEmpty();
				missing.add(new OriginEntry(route, origin,
						first ? OriginEntry.State.ESTABLISHED : OriginEntry.State.NEW, 1));
			}
		}
		return missing;
	}

	private static Map<String, Set<StreamOrigin>> serving(RouteTable routes, EndpointTable endpoints) {
		Map<String, Set<StreamOrigin>> byService = new HashMap<>();
		endpoints.byId()
			.values()
			.stream()
			.filter((endpoint) -> !endpoint.leaving())
			.forEach((endpoint) -> byService.computeIfAbsent(endpoint.service(), (service) -> new HashSet<>())
				.add(new StreamOrigin(endpoint.service(), endpoint.version())));
		Map<String, Set<StreamOrigin>> byRoute = new HashMap<>();
		routes.routes()
			.stream()
			.filter(Route::resumesStreams)
			.forEach((route) -> route.services()
				.forEach((candidate) -> byRoute.computeIfAbsent(route.name(), (name) -> new HashSet<>())
					.addAll(byService.getOrDefault(candidate.service(), Set.of()))));
		return byRoute;
	}

	/**
	 * Changes of the stored entries. Immutable.
	 *
	 * @param puts entries to store
	 * @param removals entries to remove
	 */
	public record Changes(List<OriginEntry> puts, List<OriginEntry> removals) {

		/**
		 * Returns whether there is nothing to change.
		 * @return true if there is none
		 */
		public boolean isEmpty() {
			return this.puts.isEmpty() && this.removals.isEmpty();
		}

	}

	/**
	 * An entry with or without an endpoint. Immutable.
	 *
	 * @param entry the entry
	 * @param serves true if an endpoint serves at its origin
	 */
	private record Observed(OriginEntry entry, boolean serves) {

		// Written out, since the methods of a record are generated by code generation at
		// run time.
		@Override
		public boolean equals(Object other) {
			return other instanceof Observed that && this.entry.equals(that.entry) && this.serves == that.serves;
		}

		@Override
		public int hashCode() {
			return 31 * this.entry.hashCode() + Boolean.hashCode(this.serves);
		}

	}

}
