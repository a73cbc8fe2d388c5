package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Load balancer for the endpoints of one service without engines, by the power of two
 * choices: of two random available endpoints it chooses the one with fewer in-flight
 * requests of this host, weighted by the recent failure rate. It uses only what this host
 * has observed. Invariant: what is known of an endpoint is kept while requests are in
 * flight there, and for {@link #RETENTION_MILLIS} after it was last a candidate. Times
 * are milliseconds. Not safe for use by several threads.
 */
public final class TwoChoicesBalancer {

	/**
	 * Time in milliseconds after which an endpoint with an unanswered request is
	 * suspected to have failed.
	 */
	static final long OVERDUE_MILLIS = 1000;

	/**
	 * Share of a limit that the hosts of a large fleet use together. The rest covers that
	 * they do not coordinate.
	 */
	static final double LARGE_FLEET_LIMIT_SHARE = 0.7;

	/** Size in hosts of the largest fleet whose hosts use a limit in full. */
	static final int SMALL_FLEET_HOSTS = 8;

	/**
	 * Time in milliseconds for which an endpoint is remembered that is no candidate. A
	 * rollout or a full endpoint leaves it out of the candidates of single requests, and
	 * its limit and health must hold for the others.
	 */
	static final long RETENTION_MILLIS = 60_000;

	private final Map<String, EndpointState> states = new HashMap<>();

	/**
	 * Records whether the answer of an endpoint names a limit.
	 * @param endpoint id of the endpoint
	 * @param id id of the request
	 * @param requestsPerSecond requests per second that the endpoint takes from all hosts
	 * together, or 0 if it names no limit
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 */
	public void onAnswerBegun(String endpoint, String id, double requestsPerSecond, RandomGenerator random, long now) {
		EndpointState state = this.states.get(endpoint);
		Long dispatchedAt = (state != null) ? state.dispatchTimes.get(id) : null;
		if (dispatchedAt == null) {
			return;
		}
		if (requestsPerSecond > 0) {
			// Random, so that the hosts do not send their first request at the same time.
			state.rateLimit.name(requestsPerSecond, random.nextDouble(), now);
		}
		else {
			state.rateLimit.onUnlimitedAnswer(dispatchedAt);
		}
	}

	/**
	 * Returns the time until the limit of some endpoint permits a request of this host.
	 * @param candidates ids of endpoints that accept work
	 * @param hosts number of hosts that share the limits
	 * @param now time in milliseconds
	 * @return time in milliseconds, or 0 if a request is permitted now or there is no
	 * candidate
	 */
	public long waitMillis(Collection<String> candidates, int hosts, long now) {
		double share = ((hosts > SMALL_FLEET_HOSTS) ? LARGE_FLEET_LIMIT_SHARE : 1) / Math.max(1, hosts);
		return candidates.stream().mapToLong((endpoint) -> {
			EndpointState state = state(endpoint);
			state.lastCandidateAt = now;
			state.rateLimit.share(share, now);
			return state.rateLimit.waitMillis(now);
		}).min().orElse(0);
	}

	/**
	 * Chooses an endpoint for a request and counts the request as in flight there.
	 * @param candidates ids of endpoints that accept work
	 * @param excluded ids of endpoints that are chosen only if there is no other
	 * candidate
	 * @param id id of the request
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return id of the endpoint, or null if there is no candidate or none whose limit
	 * permits a request
	 */
	public String choose(Collection<String> candidates, Set<String> excluded, String id, RandomGenerator random,
			long now) {
		return choose(candidates, candidates, excluded, id, random, now);
	}

	/**
	 * Chooses an endpoint for a request, rather one of a part of the candidates, and
	 * counts the request as in flight there.
	 * @param candidates ids of endpoints that accept work
	 * @param preferred those from which one is chosen if one of them is permitted, not
	 * excluded and not suspected
	 * @param excluded ids of endpoints that are chosen only if there is no other
	 * candidate
	 * @param id id of the request
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return id of the endpoint, or null if there is no candidate or none whose limit
	 * permits a request
	 */
	public String choose(Collection<String> candidates, Collection<String> preferred, Set<String> excluded, String id,
			RandomGenerator random, long now) {
		candidates.forEach((endpoint) -> state(endpoint).lastCandidateAt = now);
		this.states.values()
			.removeIf((state) -> state.dispatchTimes.isEmpty() && now - state.lastCandidateAt > RETENTION_MILLIS);
		suspectOverdue(now);
		List<String> permitted = permitted(
				preferred.stream().anyMatch((endpoint) -> working(endpoint, excluded, now)) ? preferred : candidates,
				now);
		List<String> best = best(permitted, excluded, now);
		if (best.isEmpty()) {
			return null;
		}
		String first = best.get(random.nextInt(best.size()));
		String second = best.get(random.nextInt(best.size()));
		String chosen = (state(second).cost() < state(first).cost()) ? second : first;
		EndpointState state = state(chosen);
		if (!state.health.available(now)) {
			state.health.onProbe(now);
		}
		state.rateLimit.take(now);
		state.dispatchTimes.put(id, now);
		return chosen;
	}

	private List<String> permitted(Collection<String> candidates, long now) {
		return candidates.stream().filter((endpoint) -> state(endpoint).rateLimit.waitMillis(now) == 0).toList();
	}

	private boolean working(String endpoint, Set<String> excluded, long now) {
		EndpointState state = state(endpoint);
		return !excluded.contains(endpoint) && state.rateLimit.waitMillis(now) == 0 && state.health.available(now);
	}

	// Returns the best non-empty group of candidates: one suspected endpoint that is due
	// for a probe, else the available ones, else all not excluded, else all.
	private List<String> best(Collection<String> candidates, Set<String> excluded, long now) {
		List<String> allowed = candidates.stream().filter((endpoint) -> !excluded.contains(endpoint)).toList();
		List<String> dueForProbe = allowed.stream()
			.filter((endpoint) -> state(endpoint).health.probeAllowed(now))
			.toList();
		if (!dueForProbe.isEmpty()) {
			return dueForProbe.subList(0, 1);
		}
		List<String> available = allowed.stream().filter((endpoint) -> state(endpoint).health.available(now)).toList();
		if (!available.isEmpty()) {
			return available;
		}
		return allowed.isEmpty() ? new ArrayList<>(candidates) : allowed;
	}

	private EndpointState state(String endpoint) {
		return this.states.computeIfAbsent(endpoint, (key) -> new EndpointState());
	}

	private void suspectOverdue(long now) {
		for (EndpointState state : this.states.values()) {
			if (state.dispatchTimes.values().stream().anyMatch((dispatchedAt) -> now - dispatchedAt > OVERDUE_MILLIS)) {
				state.health.onOverdue(now);
			}
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param endpoint id of the endpoint
	 * @param id id of the request
	 * @param result result of the attempt
	 * @param now time in milliseconds
	 */
	public void onEnded(String endpoint, String id, AttemptResult result, long now) {
		EndpointState state = this.states.get(endpoint);
		if (state != null && state.dispatchTimes.remove(id) != null) {
			state.health.onAttemptEnded(result, now);
		}
	}

	/**
	 * In-flight requests, limit and health of one endpoint. Confined to its balancer.
	 */
	private static final class EndpointState {

		/** Dispatch times of the in-flight requests by request id. */
		final Map<String, Long> dispatchTimes = new HashMap<>();

		final EndpointHealth health = new EndpointHealth();

		final EndpointRateLimit rateLimit = new EndpointRateLimit();

		long lastCandidateAt;

		double cost() {
			return (1 + this.dispatchTimes.size()) * this.health.costFactor();
		}

	}

}
