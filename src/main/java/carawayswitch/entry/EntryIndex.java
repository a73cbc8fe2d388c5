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
 * Look-up tables over one configuration. Immutable and safe for use by several threads.
 *
 * @param state the configuration
 * @param organisationByToken qualified name of the organisation by hash of its token
 * @param endpointsByService endpoints that take new work, by qualified name of the
 * service
 */
record EntryIndex(ConfigurationState state, Map<String, String> organisationByToken,
		Map<String, List<NamedEndpoint>> endpointsByService) {

	static EntryIndex of(ConfigurationState state) {
		Map<String, String> tokens = new HashMap<>();
		state.all(Organisation.class, EntityKind.ORGANISATION)
			.forEach((name, organisation) -> tokens.put(organisation.tokenHash(), name));
		Map<String, List<NamedEndpoint>> endpoints = new HashMap<>();
		state.all(Endpoint.class, EntityKind.ENDPOINT).forEach((id, endpoint) -> {
			if (!endpoint.leaving()) {
				for (String service : endpoint.services()) {
					endpoints.computeIfAbsent(service, (key) -> new ArrayList<>()).add(new NamedEndpoint(id, endpoint));
				}
			}
		});
		return new EntryIndex(state, tokens, endpoints);
	}

	List<NamedEndpoint> endpoints(String service) {
		return this.endpointsByService.getOrDefault(service, List.of());
	}

	Iterable<String> serviceNames() {
		return this.state.all(Service.class, EntityKind.SERVICE).keySet();
	}

	/**
	 * An endpoint with its id. Immutable.
	 *
	 * @param id id of the endpoint
	 * @param endpoint the endpoint
	 */
	record NamedEndpoint(String id, Endpoint endpoint) {

	}

}
