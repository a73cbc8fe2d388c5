package carawayswitch.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Snapshot of the registered endpoints. Immutable; a change replaces the table.
 */
public final class EndpointTable {

	/** The table without endpoints. */
	public static final EndpointTable EMPTY = new EndpointTable(Map.of());

	private final Map<String, EndpointEntry> byId;

	private final Map<String, List<EndpointEntry>> accepting;

	/**
	 * Creates a table.
	 * @param entries the endpoints by id
	 */
	public EndpointTable(Map<String, EndpointEntry> entries) {
		this.byId = Map.copyOf(entries);
		this.accepting = new HashMap<>();
		for (EndpointEntry entry : this.byId.values()) {
			if (!entry.leaving()) {
				this.accepting.computeIfAbsent(entry.service(), (key) -> new ArrayList<>()).add(entry);
			}
		}
		this.accepting.values().forEach((list) -> list.sort((a, b) -> a.id().compareTo(b.id())));
	}

	/**
	 * Returns the endpoints of a service that accept new requests, ordered by id.
	 * @param service name of the service
	 * @return the endpoints
	 */
	public List<EndpointEntry> accepting(String service) {
		return Collections.unmodifiableList(this.accepting.getOrDefault(service, List.of()));
	}

	/**
	 * Returns the endpoints of one version of a service that accept new requests, ordered
	 * by id.
	 * @param service name of the service
	 * @param version version of the software, or empty for all
	 * @return the endpoints
	 */
	public List<EndpointEntry> accepting(String service, String version) {
		List<EndpointEntry> all = accepting(service);
		return version.isEmpty() ? all : all.stream().filter((entry) -> entry.version().equals(version)).toList();
	}

	/**
	 * Finds an endpoint that accepts new requests.
	 * @param id id of the endpoint
	 * @return the endpoint, or null if it is not registered or is draining
	 */
	public EndpointEntry acceptingById(String id) {
		EndpointEntry entry = this.byId.get(id);
		return (entry != null && !entry.leaving()) ? entry : null;
	}

	/**
	 * Returns all endpoints by id, including those that are draining.
	 * @return an unmodifiable map
	 */
	public Map<String, EndpointEntry> byId() {
		return this.byId;
	}

}
