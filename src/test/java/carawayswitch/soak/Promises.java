package carawayswitch.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What clients were told and what endpoints ran, and the promises that must hold between
 * the two. Times are milliseconds since the start of the soak. Safe for use by several
 * threads.
 */
final class Promises {

	/** Status codes that promise that a request has not run and never will. */
	private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

	/** Time within which an endpoint's run may follow the sending of a request. */
	private static final long WAY_MILLIS = 600;

	private final Map<String, Asked> asked = new ConcurrentHashMap<>();

	private final Map<String, Long> revokedAt = new ConcurrentHashMap<>();

	private final List<Stop> stops = new ArrayList<>();

	/** Times at which faults began and ended that excuse a cut request. */
	private final List<long[]> faults = new ArrayList<>();

	void asked(String attempt, boolean repeatable, String key, String host, long at) {
		this.asked.put(attempt, new Asked(repeatable, key, host, at));
	}

	void answered(String attempt, int status, String echoed, String seal, String body, String expected) {
		Asked request = this.asked.get(attempt);
		request.status = status;
		if (status == 200) {
			request.wrong = !attempt.equals(echoed) || seal == null || !seal.endsWith(attempt)
					|| !body.matches(expected);
			request.shown = body;
		}
	}

	void failed(String attempt, long at) {
		this.asked.get(attempt).failedAt = at;
	}

	void revoked(String key, long at) {
		this.revokedAt.put(key, at);
	}

	synchronized void stopped(String host, long at) {
		this.stops.add(new Stop(host, at));
	}

	synchronized void fault(long from, long until) {
		this.faults.add(new long[] { from, until });
	}

	int count() {
		return this.asked.size();
	}

	int served() {
		return (int) this.asked.values().stream().filter((each) -> each.status == 200).count();
	}

	/**
	 * Checks all promises.
	 * @param runs attempt ids in the order in which endpoints ran them
	 * @return a line for each promise that was broken
	 */
	synchronized List<String> broken(List<String> runs) {
		Map<String, Integer> counts = new HashMap<>();
		runs.forEach((attempt) -> counts.merge(attempt, 1, Integer::sum));
		List<String> broken = new ArrayList<>();
		this.asked.forEach((attempt, request) -> {
			int ran = counts.getOrDefault(attempt, 0);
			if (!request.repeatable && ran > 1) {
				broken.add(attempt + " ran " + ran + " times");
			}
			if (!request.repeatable && ran > 0 && NOT_RUN.contains(request.status)) {
				broken.add(attempt + " ran and was answered " + request.status);
			}
			if (request.wrong) {
				broken.add(attempt + " got an answer that is not its own or not whole: " + request.shown);
			}
			Long revoked = this.revokedAt.get(request.key);
			if (revoked != null && ran > 0 && request.at > revoked + GatewayProcess.REVOKE_MILLIS) {
				broken.add(attempt + " ran with a key that was removed " + (request.at - revoked) + " ms before");
			}
			if (ran > 0 && request.failedAt >= 0 && cutByPlannedStop(request)) {
				broken.add(attempt + " was cut by the planned stop of " + request.host);
			}
		});
		counts.keySet()
			.stream()
			.filter((attempt) -> !this.asked.containsKey(attempt))
			.forEach((attempt) -> broken.add(attempt + " ran and no client sent it"));
		return broken;
	}

	// Only the stop itself may have cut the request: no fault from shortly before the
	// request to its end.
	private boolean cutByPlannedStop(Asked request) {
		boolean stopped = this.stops.stream()
			.anyMatch((stop) -> stop.host().equals(request.host) && request.failedAt >= stop.at()
					&& request.failedAt <= stop.at() + GatewayProcess.GRACE_MILLIS && request.at <= stop.at());
		boolean excused = this.faults.stream()
			.anyMatch((fault) -> fault[0] <= request.failedAt && fault[1] + WAY_MILLIS >= request.at);
		return stopped && !excused;
	}

	private record Stop(String host, long at) {

	}

	/**
	 * A request and its end. Written by one client thread, read after it has ended.
	 */
	private static final class Asked {

		final boolean repeatable;

		final String key;

		final String host;

		final long at;

		volatile int status;

		volatile boolean wrong;

		volatile String shown = "";

		volatile long failedAt = -1;

		Asked(boolean repeatable, String key, String host, long at) {
			this.repeatable = repeatable;
			this.key = key;
			this.host = host;
			this.at = at;
		}

	}

}
