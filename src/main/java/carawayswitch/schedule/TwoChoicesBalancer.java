package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses among the endpoints of one plain service by this host's own experience: of two
 * random trusted endpoints the one with fewer requests of this host, corrected by how
 * often attempts there failed. Times are milliseconds. Not safe for use by several
 * threads.
 */
public final class TwoChoicesBalancer {

	/** Time without an answer in milliseconds after which an endpoint is suspected. */
	static final long OVERDUE_MILLIS = 1000;

	private final Map<String, EndpointState> states = new HashMap<>();

	/**
	 * Chooses an endpoint for a request and counts the request there.
	 * @param candidates ids of endpoints that accept work
	 * @param excluded ids that are chosen only if no other is left
	 * @param id id of the request
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return id of the endpoint, or null if there is no candidate
	 */
	public String choose(Collection<String> candidates, Set<String> excluded, String id, RandomGenerator random,
			long now) {
		this.states.keySet()
			.removeIf((endpoint) -> !candidates.contains(endpoint) && this.states.get(endpoint).dispatchedAt.isEmpty());
		suspectOverdue(now);
		List<String> preferred = preferred(candidates, excluded, now);
		if (preferred.isEmpty()) {
			return null;
		}
		String first = preferred.get(random.nextInt(preferred.size()));
		String second = preferred.get(random.nextInt(preferred.size()));
		String chosen = (state(second).cost() < state(first).cost()) ? second : first;
		EndpointState state = state(chosen);
		if (!state.health.available(now)) {
			state.health.onProbe(now);
		}
		state.dispatchedAt.put(id, now);
		return chosen;
	}

	private List<String> preferred(Collection<String> candidates, Set<String> excluded, long now) {
		List<String> allowed = candidates.stream().filter((endpoint) -> !excluded.contains(endpoint)).toList();
		List<String> triable = allowed.stream().filter((endpoint) -> state(endpoint).health.probeAllowed(now)).toList();
		if (!triable.isEmpty()) {
			return triable.subList(0, 1);
		}
		List<String> trusted = allowed.stream().filter((endpoint) -> state(endpoint).health.available(now)).toList();
		if (!trusted.isEmpty()) {
			return trusted;
		}
		return allowed.isEmpty() ? new ArrayList<>(candidates) : allowed;
	}

	private EndpointState state(String endpoint) {
		return this.states.computeIfAbsent(endpoint, (key) -> new EndpointState());
	}

	private void suspectOverdue(long now) {
		for (EndpointState state : this.states.values()) {
			if (state.dispatchedAt.values().stream().anyMatch((dispatchedAt) -> now - dispatchedAt > OVERDUE_MILLIS)) {
				state.health.onOverdue(now);
			}
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param endpoint id of the endpoint
	 * @param id id of the request
	 * @param result how it ended
	 * @param now time in milliseconds
	 */
	public void onEnded(String endpoint, String id, AttemptResult result, long now) {
		EndpointState state = this.states.get(endpoint);
		if (state != null && state.dispatchedAt.remove(id) != null) {
			state.health.onAttemptEnded(result, now);
		}
	}

	/**
	 * What this host knows of one endpoint. Confined to its pool.
	 */
	private static final class EndpointState {

		final Map<String, Long> dispatchedAt = new HashMap<>();

		final EndpointHealth health = new EndpointHealth();

		double cost() {
			return (1 + this.dispatchedAt.size()) * this.health.costFactor();
		}

	}

}
