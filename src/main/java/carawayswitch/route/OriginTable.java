package carawayswitch.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Origins at which the streams of each route may have begun. A stream begins only at an
 * origin whose entry is stored, so that a table that was read from the store after a
 * stream has begun holds the origin of that stream. Immutable; a change replaces the
 * table.
 */
public final class OriginTable {

	/** The table without entries. */
	public static final OriginTable EMPTY = new OriginTable(Set.of());

	/**
	 * Longest time in milliseconds for which a client may take up a stream that is not
	 * recorded.
	 */
	public static final long MAX_UNRECORDED_MILLIS = 600_000;

	private final Map<String, Map<StreamOrigin, OriginEntry>> byRoute = new HashMap<>();

	/**
	 * Creates a table.
	 * @param entries the entries; of several of one route and origin the latest revision
	 * counts
	 */
	public OriginTable(Collection<OriginEntry> entries) {
		entries.forEach(this::add);
	}

	private void add(OriginEntry entry) {
		this.byRoute.computeIfAbsent(entry.route(), (route) -> new HashMap<>())
			.merge(entry.origin(), entry, (one, other) -> one.olderThan(other) ? other : one);
	}

	/**
	 * Returns a table that has other entries too.
	 * @param others the other entries
	 * @return a new table
	 */
	public OriginTable with(Collection<OriginEntry> others) {
		OriginTable table = new OriginTable(entries());
		others.forEach(table::add);
		return table;
	}

	Collection<OriginEntry> entries() {
		Set<OriginEntry> entries = new HashSet<>();
		this.byRoute.values().forEach((byOrigin) -> entries.addAll(byOrigin.values()));
		return entries;
	}

	Map<StreamOrigin, OriginEntry> entries(String route) {
		return this.byRoute.getOrDefault(route, Map.of());
	}

	/**
	 * Returns the origins at which streams of a route may have begun.
	 * @param route name of the route
	 * @return the origins, retired ones included
	 */
	public Set<StreamOrigin> possible(String route) {
		return Set.copyOf(entries(route).keySet());
	}

	/**
	 * Returns the origins at which streams of a route may have begun that are not
	 * recorded.
	 * @param route name of the route
	 * @return the origins, retired ones included
	 */
	public Set<StreamOrigin> possibleUnrecorded(String route) {
		Set<StreamOrigin> origins = new HashSet<>();
		entries(route).values().forEach((entry) -> {
			if (entry.state() != OriginEntry.State.NEW) {
				origins.add(entry.origin());
			}
		});
		return origins;
	}

	/**
	 * Returns the versions of a service at which a new stream of a route may begin.
	 * @param route name of the route
	 * @param service name of the service
	 * @param recordable false if new streams cannot be recorded at present
	 * @return the versions
	 */
	public Set<String> beginVersions(String route, String service, boolean recordable) {
		Set<String> versions = new HashSet<>();
		entries(route).values().forEach((entry) -> {
			boolean begins = switch (entry.state()) {
				case NEW -> recordable;
				case ESTABLISHED -> true;
				case RETIRED -> false;
			};
			if (begins && entry.origin().service().equals(service)) {
				versions.add(entry.origin().version());
			}
		});
		return versions;
	}

	/**
	 * Returns whether a new stream must be recorded.
	 * @param route name of its route
	 * @param origin what begins it
	 * @param lifetimeMillis time for which its client may take it up
	 * @return whether, and by when
	 */
	public Recording recording(String route, StreamOrigin origin, long lifetimeMillis) {
		if (lifetimeMillis > MAX_UNRECORDED_MILLIS || !possibleUnrecorded(route).contains(origin)) {
			return Recording.BEFORE_FIRST_EVENT;
		}
		if (possibleUnrecorded(route).size() > 1) {
			return Recording.BEFORE_FIRST_EVENT_IF_IN_TIME;
		}
		return (possible(route).size() > 1) ? Recording.LATER : Recording.NONE;
	}

}
