package carawayswitch.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.http.RequestLimits;

/**
 * One version of the configuration with all of its entries in the order in which they are
 * written, also those that another entry replaces in the {@link RouteTable}. Immutable.
 *
 * @param version version of the configuration
 * @param routes the routes
 * @param services the services
 * @param organisations the organisations with their API keys
 * @param keysInUse true if the configuration names organisations, so that requests need
 * API keys
 * @param limits limits on what clients may send
 */
public record ConfigurationEntries(long version, List<Route> routes, List<ServicePolicy> services,
		List<OrganisationEntry> organisations, boolean keysInUse, RequestLimits limits) {

	/**
	 * Copies the lists.
	 */
	public ConfigurationEntries {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		organisations = List.copyOf(organisations);
	}

	/**
	 * Returns the table by which requests are served. The last one of several entries for
	 * the same requests, service or key counts.
	 * @return the table
	 */
	public RouteTable table() {
		Map<String, OrganisationPolicy> byKey = new HashMap<>();
		this.organisations.forEach((entry) -> entry.keys().forEach((key) -> byKey.put(key, entry.policy())));
		return new RouteTable(this.version, this.routes, this.services, byKey, this.keysInUse, this.limits);
	}

	/**
	 * An organisation with its API keys. Immutable. The text form leaves out the keys,
	 * since they are secret.
	 *
	 * @param policy priority and cap
	 * @param keys the keys
	 */
	public record OrganisationEntry(OrganisationPolicy policy, List<String> keys) {

		/**
		 * Copies the keys.
		 */
		public OrganisationEntry {
			keys = List.copyOf(keys);
		}

		@Override
		public String toString() {
			return "OrganisationEntry[policy=" + this.policy + ", keys=" + this.keys.size() + "]";
		}

	}

}
