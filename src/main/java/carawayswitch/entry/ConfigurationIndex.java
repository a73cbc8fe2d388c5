package carawayswitch.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.config.ConfigurationState;
import carawayswitch.config.Endpoint;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Organisation;
import carawayswitch.config.Service;

/**
 * Lookup tables built from one configuration. Immutable and safe for use by several
 * threads.
 *
 * @param state the configuration
 * @param organisationByTokenHash qualified names of organisations by the SHA-256 of their
 * tokens
 * @param endpointsByService endpoints that accept new work, by qualified name of the
 * service; endpoints that are leaving are excluded
 */
record ConfigurationIndex(ConfigurationState state, Map<String, String> organisationByTokenHash,
		Map<String, List<NamedEndpoint>> endpointsByService) {

	static ConfigurationIndex of(ConfigurationState state) {
		Map<String, String> organisationByTokenHash = new HashMap<>();
		state.all(Organisation.class, EntityKind.ORGANISATION)
			.forEach((name, organisation) -> organisationByTokenHash.put(organisation.tokenHash(), name));
		Map<String, List<NamedEndpoint>> endpointsByService = new HashMap<>();
		state.all(Endpoint.class, EntityKind.ENDPOINT).forEach((id, endpoint) -> {
			if (!endpoint.leaving()) {
				for (String service : endpoint.services()) {
					endpointsByService.computeIfAbsent(service, (key) -> new ArrayList<>())
						.add(new NamedEndpoint(id, endpoint));
				}
			}
		});
		return new ConfigurationIndex(state, organisationByTokenHash, endpointsByService);
	}

	List<NamedEndpoint> endpoints(String service) {
		return this.endpointsByService.getOrDefault(service, List.of());
	}

	Iterable<String> serviceNames() {
		return this.state.all(Service.class, EntityKind.SERVICE).keySet();
	}

	/**
	 * Configuration of an endpoint with its id. Immutable.
	 *
	 * @param id id of the endpoint
	 * @param endpoint configuration of the endpoint
	 */
	record NamedEndpoint(String id, Endpoint endpoint) {

	}

}
