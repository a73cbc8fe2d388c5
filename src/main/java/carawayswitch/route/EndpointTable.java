package carawayswitch.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoints that a host believes in. Immutable; replaced as a whole.
 */
public final class EndpointTable {

	/** A table without endpoints. */
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
	 * Returns the endpoints of a service that accept work, ordered by id.
	 * @param service name of the service
	 * @return the endpoints
	 */
	public List<EndpointEntry> accepting(String service) {
		return Collections.unmodifiableList(this.accepting.getOrDefault(service, List.of()));
	}

	/**
	 * Finds an endpoint that accepts work.
	 * @param id id of the endpoint
	 * @return the endpoint, or null
	 */
	public EndpointEntry acceptingById(String id) {
		EndpointEntry entry = this.byId.get(id);
		return (entry != null && !entry.leaving()) ? entry : null;
	}

	/**
	 * Returns all endpoints by id.
	 * @return an unmodifiable map
	 */
	public Map<String, EndpointEntry> byId() {
		return this.byId;
	}

}
