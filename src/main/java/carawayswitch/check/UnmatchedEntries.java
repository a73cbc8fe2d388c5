package carawayswitch.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import carawayswitch.route.ConfigurationEntries;
import carawayswitch.route.ConfigurationEntries.OrganisationEntry;
import carawayswitch.route.Route;
import carawayswitch.route.ServicePolicy;

/**
 * Finds entries that have no effect: routes that match no request or name no service,
 * services that get no request, organisations and keys that admit nobody. The rules are
 * those of {@link carawayswitch.route.RouteTable}. Stateless.
 */
final class UnmatchedEntries {

	private UnmatchedEntries() {
	}

	/**
	 * Checks the entries of a configuration.
	 * @param entries the configuration
	 * @return the findings, in the order of the entries
	 */
	static List<Finding> check(ConfigurationEntries entries) {
		List<Finding> findings = new ArrayList<>();
		checkRoutes(entries, findings);
		checkServices(entries, findings);
		checkOrganisations(entries.organisations(), findings);
		return findings;
	}

	private static void checkRoutes(ConfigurationEntries entries, List<Finding> findings) {
		Set<String> services = entries.services().stream().map(ServicePolicy::name).collect(Collectors.toSet());
		// The last one of several routes with the same host name and prefix counts.
		Map<List<String>, Route> winners = new HashMap<>();
		entries.routes().forEach((route) -> winners.put(List.of(route.hostName(), route.pathPrefix()), route));
		for (Route route : entries.routes()) {
			String at = EntryKind.ROUTE.entry(route.name());
			Route winner = winners.get(List.of(route.hostName(), route.pathPrefix()));
			if (winner != route) {
				findings.add(new Finding(at, "never matches, since " + EntryKind.ROUTE.entry(winner.name())
						+ " behind it has the same host name and path prefix"));
			}
			if (route.hostName().isBlank() || route.hostName().contains(":")) {
				findings.add(new Finding(at, "never matches, since requests are matched by a host name without a port"
						+ " and this one is \"" + route.hostName() + "\""));
			}
			if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
				findings.add(new Finding(at, "never matches, since path prefixes begin and end with a slash and this"
						+ " one is \"" + route.pathPrefix() + "\""));
			}
			for (Route.WeightedService share : route.services()) {
				if (!services.contains(share.service())) {
					findings.add(new Finding(at, EntryKind.SERVICE.entry(share.service()) + " does not exist"));
				}
				if (share.weight() <= 0) {
					findings.add(new Finding(at, EntryKind.SERVICE.entry(share.service()) + " has the weight "
							+ share.weight() + " and gets no share of the requests"));
				}
			}
		}
	}

	private static void checkServices(ConfigurationEntries entries, List<Finding> findings) {
		Set<String> routed = entries.routes()
			.stream()
			.flatMap((route) -> route.services().stream())
			.map(Route.WeightedService::service)
			.collect(Collectors.toSet());
		Map<String, ServicePolicy> winners = new HashMap<>();
		entries.services().forEach((service) -> winners.put(service.name(), service));
		for (ServicePolicy service : entries.services()) {
			String at = EntryKind.SERVICE.entry(service.name());
			if (winners.get(service.name()) != service) {
				findings.add(new Finding(at, "has no effect, since another service of this name is behind it"));
			}
			if (!routed.contains(service.name())) {
				findings.add(new Finding(at, "no route names it"));
			}
		}
	}

	private static void checkOrganisations(List<OrganisationEntry> organisations, List<Finding> findings) {
		Map<String, OrganisationEntry> holders = new HashMap<>();
		organisations.forEach((entry) -> entry.keys().forEach((key) -> holders.put(key, entry)));
		Set<String> names = new HashSet<>();
		for (OrganisationEntry entry : organisations) {
			String name = entry.policy().name();
			String at = EntryKind.ORGANISATION.entry(name);
			if (name.isBlank()) {
				findings.add(new Finding(at, "its " + entry.keys().size() + " keys belong to no named organisation"));
			}
			else if (!names.add(name)) {
				findings.add(new Finding(at, "exists more than once; which of their caps holds is not defined"));
			}
			if (entry.keys().isEmpty()) {
				findings.add(new Finding(at, "has no key, so that no request belongs to it"));
			}
			for (String key : new HashSet<>(entry.keys())) {
				if (key.isBlank()) {
					findings.add(new Finding(at, "has an empty key"));
				}
				if (holders.get(key) != entry) {
					findings.add(new Finding(at, "key " + KeyDigest.of(key) + " admits to "
							+ EntryKind.ORGANISATION.entry(holders.get(key).policy().name()) + " behind it"));
				}
			}
		}
	}

}
