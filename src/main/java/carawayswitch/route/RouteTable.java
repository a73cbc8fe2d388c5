package carawayswitch.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import carawayswitch.http.RequestLimits;

/**
 * One version of the configuration: routes, services, organisations and limits.
 * Immutable; a new version replaces the table.
 *
 * <pre>
 * Optional&lt;Route&gt; route = table.match("shop.example:8080", "/orders/7");
 * </pre>
 */
public final class RouteTable {

	private final long version;

	private final Map<String, Map<String, Route>> routes;

	private final Map<String, ServicePolicy> services;

	private final Map<String, OrganisationPolicy> organisationsByKey;

	private final Map<String, OrganisationPolicy> organisations;

	private final boolean keysInUse;

	private final RequestLimits limits;

	/**
	 * Creates a table.
	 * @param version version of the configuration
	 * @param routes the routes
	 * @param services the services
	 * @param organisationsByKey organisations by API key
	 * @param keysInUse true if the configuration names organisations, so that requests
	 * need API keys
	 * @param limits limits on what clients may send
	 */
	public RouteTable(long version, List<Route> routes, List<ServicePolicy> services,
			Map<String, OrganisationPolicy> organisationsByKey, boolean keysInUse, RequestLimits limits) {
		this.version = version;
		this.routes = new HashMap<>();
		routes.forEach((route) -> this.routes.computeIfAbsent(route.hostName(), (key) -> new HashMap<>())
			.put(route.pathPrefix(), route));
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		this.organisationsByKey = Map.copyOf(organisationsByKey);
		this.organisations = new HashMap<>();
		organisationsByKey.values()
			.forEach((organisation) -> this.organisations.put(organisation.name(), organisation));
		this.keysInUse = keysInUse;
		this.limits = limits;
	}

	/**
	 * Returns all routes.
	 * @return the routes
	 */
	public List<Route> routes() {
		return this.routes.values().stream().flatMap((byPrefix) -> byPrefix.values().stream()).toList();
	}

	/**
	 * Finds the route with the longest matching path prefix. Prefixes end with a slash.
	 * @param hostHeader value of the Host header, with or without a port
	 * @param path path without query
	 * @return the route, if any
	 */
	public Optional<Route> match(String hostHeader, String path) {
		Map<String, Route> routesByPrefix = this.routes.get(hostName(hostHeader));
		if (routesByPrefix == null) {
			return Optional.empty();
		}
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = routesByPrefix.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
			if (slash == 0) {
				break;
			}
		}
		return Optional.empty();
	}

	private static String hostName(String hostHeader) {
		if (hostHeader == null) {
			return "";
		}
		int colon = hostHeader.indexOf(':');
		return ((colon < 0) ? hostHeader : hostHeader.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds the organisation that holds an API key.
	 * @param key the key
	 * @return the organisation, if any
	 */
	public Optional<OrganisationPolicy> organisationByKey(String key) {
		return Optional.ofNullable((key != null) ? this.organisationsByKey.get(key) : null);
	}

	/**
	 * Finds an organisation by name.
	 * @param name name of the organisation
	 * @return the organisation, if it exists and holds a key
	 */
	public Optional<OrganisationPolicy> organisationByName(String name) {
		return Optional.ofNullable(this.organisations.get(name));
	}

	/**
	 * Returns the organisations that hold keys.
	 * @return the organisations
	 */
	public Collection<OrganisationPolicy> organisations() {
		return Collections.unmodifiableCollection(this.organisations.values());
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, if any
	 */
	public Optional<ServicePolicy> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns whether requests need API keys, except on exempt routes.
	 * @return true if the configuration names organisations
	 */
	public boolean keysInUse() {
		return this.keysInUse;
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on what clients may send.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the number of routes.
	 * @return the number of routes over all host names
	 */
	public int routeCount() {
		return this.routes.values().stream().mapToInt(Map::size).sum();
	}

}
