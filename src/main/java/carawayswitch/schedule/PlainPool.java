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
public final class PlainPool {

	/** Time without an answer in milliseconds after which an endpoint is suspected. */
	static final long OVERDUE_MILLIS = 1000;

	private final Map<String, EndpointLoad> loads = new HashMap<>();

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
		this.loads.keySet().removeIf((each) -> !candidates.contains(each) && this.loads.get(each).running.isEmpty());
		suspectOverdue(now);
		List<String> best = filtered(candidates, excluded, now);
		if (best.isEmpty()) {
			return null;
		}
		String first = best.get(random.nextInt(best.size()));
		String second = best.get(random.nextInt(best.size()));
		String chosen = (load(second).cost() < load(first).cost()) ? second : first;
		EndpointLoad load = load(chosen);
		if (!load.health.available(now)) {
			load.health.onProbe(now);
		}
		load.running.put(id, now);
		return chosen;
	}

	private List<String> filtered(Collection<String> candidates, Set<String> excluded, long now) {
		List<String> others = candidates.stream().filter((each) -> !excluded.contains(each)).toList();
		List<String> triable = others.stream().filter((each) -> load(each).health.probeAllowed(now)).toList();
		if (!triable.isEmpty()) {
			return triable.subList(0, 1);
		}
		List<String> trusted = others.stream().filter((each) -> load(each).health.available(now)).toList();
		if (!trusted.isEmpty()) {
			return trusted;
		}
		return others.isEmpty() ? new ArrayList<>(candidates) : others;
	}

	private EndpointLoad load(String endpoint) {
		return this.loads.computeIfAbsent(endpoint, (key) -> new EndpointLoad());
	}

	private void suspectOverdue(long now) {
		for (EndpointLoad load : this.loads.values()) {
			if (load.running.values().stream().anyMatch((since) -> now - since > OVERDUE_MILLIS)) {
				load.health.onOverdue(now);
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
	public void ended(String endpoint, String id, AttemptResult result, long now) {
		EndpointLoad load = this.loads.get(endpoint);
		if (load != null && load.running.remove(id) != null) {
			load.health.onAttemptEnded(result, now);
		}
	}

	/**
	 * What this host knows of one endpoint. Confined to its pool.
	 */
	private static final class EndpointLoad {

		final Map<String, Long> running = new HashMap<>();

		final EndpointHealth health = new EndpointHealth();

		double cost() {
			return (1 + this.running.size()) * this.health.costFactor();
		}

	}

}
