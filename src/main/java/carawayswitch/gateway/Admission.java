package carawayswitch.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import io.vavr.control.Either;

import carawayswitch.config.Tier;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;

/**
 * Admission check of client requests against the cached configuration. While the cached
 * configuration is unconfirmed, a missing key or route is reported as stale configuration
 * rather than as nonexistent. Stateless.
 */
final class Admission {

	/**
	 * Safety margin in milliseconds subtracted from the revocation limit. It covers the
	 * network delay of the request and the resolution of timers.
	 */
	static final long REVOCATION_MARGIN_MILLIS = 400;

	private Admission() {
	}

	/**
	 * Decides whether a request is admitted.
	 * @param routeTable the configuration, or null if none is known
	 * @param ageMillis time in milliseconds since the configuration was last confirmed
	 * @param bounds bounds of the deployment
	 * @param metadata decoded headers of the request
	 * @param path path of the request
	 * @return the route and organisation of an admitted request, or the error of a
	 * rejected one
	 */
	static Either<ErrorKind, Admitted> decide(RouteTable routeTable, long ageMillis, GatewaySettings.Bounds bounds,
			RequestMetadata metadata, String path) {
		if (routeTable == null) {
			return Either.left(ErrorKind.CONFIGURATION_UNKNOWN);
		}
		boolean current = ageMillis <= bounds.configurationMillis() * 2;
		Optional<Route> route = routeTable.match(metadata.hostHeader(), path);
		if (route.isEmpty()) {
			return Either.left(current ? ErrorKind.NOT_FOUND : ErrorKind.CONFIGURATION_STALE);
		}
		if (metadata.attemptId().isEmpty()) {
			return Either.left(ErrorKind.BAD_REQUEST);
		}
		if (!route.get().keyRequired()) {
			return Either.right(new Admitted(route.get(), null));
		}
		if (!apiKeysConfirmed(ageMillis, bounds)) {
			return Either.left(ErrorKind.CONFIGURATION_STALE);
		}
		Optional<OrganisationPolicy> organisation = routeTable.organisationByKey(metadata.apiKey());
		if (organisation.isEmpty()) {
			return Either.left(current ? ErrorKind.UNAUTHENTICATED : ErrorKind.CONFIGURATION_STALE);
		}
		return Either.right(new Admitted(route.get(), organisation.get()));
	}

	/**
	 * Returns the urgency of a request while its body is received, as of the latest known
	 * configuration, however old it is. Whether the request is admitted is decided once
	 * it is complete; a host that is late in confirming its configuration must not rank
	 * the most urgent bodies last meanwhile.
	 * @param routeTable the configuration, or null if none is known
	 * @param bounds bounds of the deployment
	 * @param metadata decoded headers of the request
	 * @param path path of the request
	 * @return the urgency, or empty if the request would not be admitted
	 */
	static OptionalInt urgency(RouteTable routeTable, GatewaySettings.Bounds bounds, RequestMetadata metadata,
			String path) {
		return decide(routeTable, 0, bounds, metadata, path).map((admitted) -> OptionalInt.of(admitted.urgency()))
			.getOrElse(OptionalInt.empty());
	}

	/**
	 * Returns whether the cached API keys are recent enough to admit requests with keys.
	 * @param ageMillis time in milliseconds since the configuration was last confirmed
	 * @param bounds bounds of the deployment
	 * @return true if the revocation of a key would have reached this host, or if strict
	 * revocation is off
	 */
	static boolean apiKeysConfirmed(long ageMillis, GatewaySettings.Bounds bounds) {
		return !bounds.revocationStrict() || ageMillis <= bounds.revocationMillis() - REVOCATION_MARGIN_MILLIS;
	}

	/**
	 * Route and organisation of an admitted request. Immutable.
	 *
	 * @param route the matched route
	 * @param organisation the organisation that holds the API key, or null if the route
	 * needs no key
	 */
	record Admitted(Route route, OrganisationPolicy organisation) {

		int priority() {
			boolean overridden = this.organisation != null && this.organisation.priority() != null;
			return overridden ? this.organisation.priority() : this.route.priority();
		}

		int urgency() {
			return Math.max(0, Tier.HIGHEST_URGENCY - priority());
		}

		int routeUrgency() {
			return Math.max(0, Tier.HIGHEST_URGENCY - this.route.priority());
		}

	}

}
