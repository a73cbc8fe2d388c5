package carawayswitch.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import carawayswitch.http.RequestLimits;
import carawayswitch.route.ConfigurationEntries;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RequestKind;
import carawayswitch.route.Route;
import carawayswitch.route.ServicePolicy;

/**
 * Finds limits that cannot all be reached, or that refuse work which others permit.
 * Stateless.
 */
final class LimitContradictions {

	/**
	 * Seconds over which a cap is counted. It is a setting of the hosts and no part of
	 * the configuration; this is its default.
	 */
	private static final int CAP_WINDOW_SECONDS = 8;

	private LimitContradictions() {
	}

	/**
	 * Checks the limits of a configuration.
	 * @param entries the configuration
	 * @return the findings, in the order of the entries
	 */
	static List<Finding> check(ConfigurationEntries entries) {
		List<Finding> findings = new ArrayList<>();
		checkRequestLimits(entries.limits(), findings);
		entries.routes().forEach((route) -> checkRoute(route, findings));
		entries.services().forEach((service) -> checkService(service, findings));
		long largestRequestTokens = largestRequestTokens(entries);
		for (ConfigurationEntries.OrganisationEntry entry : entries.organisations()) {
			if (entry.policy().cap() != null) {
				checkCap(entry.policy().name(), entry.policy().cap(), largestRequestTokens, findings);
			}
		}
		return findings;
	}

	private static void checkRequestLimits(RequestLimits limits, List<Finding> findings) {
		String at = EntryKind.CONFIGURATION.label();
		report(limits.maxHeaderBytes() <= 0, at,
				"refuses every request: the largest head has " + limits.maxHeaderBytes() + " bytes", findings);
		report(limits.maxBodyBytes() <= 0, at,
				"refuses every body: the largest one has " + limits.maxBodyBytes() + " bytes", findings);
		report(limits.headerTimeoutMillis() <= 0, at, "refuses every request that is not received at once: the time"
				+ " limit between two reads is " + limits.headerTimeoutMillis() + " ms", findings);
		report(limits.idleTimeoutMillis() <= 0, at,
				"closes every connection after a request: the idle limit is " + limits.idleTimeoutMillis() + " ms",
				findings);
	}

	private static void checkRoute(Route route, List<Finding> findings) {
		String at = EntryKind.ROUTE.entry(route.name());
		if (route.timeoutMillis() <= 0) {
			findings.add(new Finding(at, "refuses every request: the time limit is " + route.timeoutMillis() + " ms"));
			return;
		}
		report(route.objectiveMillis() > route.timeoutMillis(), at, "the objective of " + route.objectiveMillis()
				+ " ms is longer than the time limit of " + route.timeoutMillis() + " ms", findings);
		report(route.objectiveMillis() <= 0, at,
				"no answer is in time: the objective is " + route.objectiveMillis() + " ms", findings);
		report(route.maxGapMillis() > route.timeoutMillis(), at, "the longest pause between events of "
				+ route.maxGapMillis() + " ms is longer than the time limit of " + route.timeoutMillis() + " ms",
				findings);
		report(route.resumable() && route.kind() != RequestKind.STREAMING, at,
				"streams are to be resumed, but its requests are not streams", findings);
	}

	private static void checkService(ServicePolicy service, List<Finding> findings) {
		String at = EntryKind.SERVICE.entry(service.name());
		report(service.engine() && service.engineSlots() <= 0, at,
				"runs no request: an engine has " + service.engineSlots() + " slots", findings);
		report(service.maxConnections() > 0 && service.maxConnections() < service.engineSlots(), at, "an engine has "
				+ service.engineSlots() + " slots and accepts only " + service.maxConnections() + " connections",
				findings);
	}

	private static void checkCap(String name, OrganisationPolicy.Cap cap, long largestRequestTokens,
			List<Finding> findings) {
		String at = EntryKind.ORGANISATION.entry(name);
		double units = cap.unitsPerSecond() * CAP_WINDOW_SECONDS + cap.burstUnits();
		if (!cap.countsTokens()) {
			report(units < 1, at, "the cap of " + units + " requests per window admits none", findings);
			return;
		}
		report(units < cap.defaultRequestTokens(), at, "the cap of " + units + " tokens per window refuses every"
				+ " request without token counts, which is charged " + cap.defaultRequestTokens(), findings);
		report(units < largestRequestTokens, at, "the cap of " + units + " tokens per window is smaller than the"
				+ " largest request of " + largestRequestTokens + " tokens that an engine holds", findings);
	}

	// Only routes that need a key count towards caps.
	private static long largestRequestTokens(ConfigurationEntries entries) {
		Set<String> services = entries.routes()
			.stream()
			.filter(Route::keyRequired)
			.flatMap((route) -> route.services().stream())
			.map(Route.WeightedService::service)
			.collect(Collectors.toSet());
		return entries.services()
			.stream()
			.filter((service) -> services.contains(service.name()))
			.mapToLong(ServicePolicy::kvTokens)
			.max()
			.orElse(0);
	}

	private static void report(boolean contradictory, String at, String message, List<Finding> findings) {
		if (contradictory) {
			findings.add(new Finding(at, message));
		}
	}

}
