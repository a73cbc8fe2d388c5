package carawayswitch.gateway;

import java.util.Optional;

import io.vavr.control.Either;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;

/**
 * Decides from what the host believes whether a request may go on. A host that cannot
 * confirm its configuration says so, and does not claim that a key or route does not
 * exist. Stateless.
 */
final class Admission {

	/**
	 * Taken off the time limits for removed keys, in milliseconds: the way of the request
	 * and the resolution of timers.
	 */
	static final long REVOCATION_MARGIN_MILLIS = 400;

	private Admission() {
	}

	/**
	 * Decides on a request.
	 * @param routeTable the configuration, or null if none is known
	 * @param ageMillis age of its confirmation in milliseconds
	 * @param bounds bounds of the deployment
	 * @param metadata what the request says
	 * @param path path of the request
	 * @return the request's treatment, or why it is refused
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
	 * Returns whether requests with keys may run.
	 * @param ageMillis age of the configuration's confirmation in milliseconds
	 * @param bounds bounds of the deployment
	 * @return true if a removed key would be known
	 */
	static boolean apiKeysConfirmed(long ageMillis, GatewaySettings.Bounds bounds) {
		return !bounds.revocationStrict() || ageMillis <= bounds.revocationMillis() - REVOCATION_MARGIN_MILLIS;
	}

	/**
	 * Treatment of an admitted request. Immutable.
	 *
	 * @param route its route
	 * @param organisation the organisation that holds its key, or null if the route needs
	 * none
	 */
	record Admitted(Route route, OrganisationPolicy organisation) {

		int priority() {
			boolean overridden = this.organisation != null && this.organisation.priority() != null;
			return overridden ? this.organisation.priority() : this.route.priority();
		}

	}

}
