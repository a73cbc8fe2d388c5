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
final class GuaranteeChecker {

	/** Status codes that promise that a request has not run and never will. */
	private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

	/** Time within which an endpoint's run may follow the sending of a request. */
	private static final long DELIVERY_LIMIT_MILLIS = 600;

	private final Map<String, ClientRequest> recordRequest = new ConcurrentHashMap<>();

	private final Map<String, Long> keyRevocationMillis = new ConcurrentHashMap<>();

	private final List<PlannedStop> plannedStops = new ArrayList<>();

	/** Times at which faults began and ended that excuse a cut request. */
	private final List<long[]> faultPeriods = new ArrayList<>();

	void recordRequest(String attempt, boolean idempotent, String apiKey, String host, long sentMillis) {
		this.recordRequest.put(attempt, new ClientRequest(idempotent, apiKey, host, sentMillis));
	}

	void recordResponse(String attempt, int status, String echoedAttempt, String seal, String body,
			String expectedBody) {
		ClientRequest request = this.recordRequest.get(attempt);
		request.status = status;
		if (status == 200) {
			request.wrongResponse = !attempt.equals(echoedAttempt) || seal == null || !seal.endsWith(attempt)
					|| !body.matches(expectedBody);
			request.responseBody = body;
		}
	}

	void recordFailure(String attempt, long failedMillis) {
		this.recordRequest.get(attempt).failedMillis = failedMillis;
	}

	void recordKeyRevocation(String apiKey, long revokedMillis) {
		this.keyRevocationMillis.put(apiKey, revokedMillis);
	}

	synchronized void recordPlannedStop(String host, long stoppedMillis) {
		this.plannedStops.add(new PlannedStop(host, stoppedMillis));
	}

	synchronized void recordFault(long fromMillis, long untilMillis) {
		this.faultPeriods.add(new long[] { fromMillis, untilMillis });
	}

	int requestCount() {
		return this.recordRequest.size();
	}

	int successCount() {
		return (int) this.recordRequest.values().stream().filter((request) -> request.status == 200).count();
	}

	/**
	 * Checks all promises.
	 * @param executedAttempts attempt ids in the order in which endpoints ran them
	 * @return a line for each promise that was broken
	 */
	synchronized List<String> violations(List<String> executedAttempts) {
		Map<String, Integer> executionCounts = new HashMap<>();
		executedAttempts.forEach((attempt) -> executionCounts.merge(attempt, 1, Integer::sum));
		List<String> violations = new ArrayList<>();
		this.recordRequest.forEach((attempt, request) -> {
			int executions = executionCounts.getOrDefault(attempt, 0);
			if (!request.idempotent && executions > 1) {
				violations.add(attempt + " ran " + executions + " times");
			}
			if (!request.idempotent && executions > 0 && NOT_EXECUTED_STATUSES.contains(request.status)) {
				violations.add(attempt + " ran and was answered " + request.status);
			}
			if (request.wrongResponse) {
				violations.add(attempt + " got an answer that is not its own or not whole: " + request.responseBody);
			}
			Long revocationMillis = this.keyRevocationMillis.get(request.apiKey);
			if (revocationMillis != null && executions > 0
					&& request.sentMillis > revocationMillis + GatewayProcess.REVOKE_MILLIS) {
				violations.add(attempt + " ran with a key that was removed " + (request.sentMillis - revocationMillis)
						+ " ms before");
			}
			if (executions > 0 && request.failedMillis >= 0 && cutByPlannedStop(request)) {
				violations.add(attempt + " was cut by the planned stop of " + request.host);
			}
		});
		executionCounts.keySet()
			.stream()
			.filter((attempt) -> !this.recordRequest.containsKey(attempt))
			.forEach((attempt) -> violations.add(attempt + " ran and no client sent it"));
		return violations;
	}

	// Only the stop itself may have cut the request: no fault from shortly before the
	// request to its end.
	private boolean cutByPlannedStop(ClientRequest request) {
		boolean cutDuringStop = this.plannedStops.stream()
			.anyMatch((stop) -> stop.host().equals(request.host) && request.failedMillis >= stop.stoppedMillis()
					&& request.failedMillis <= stop.stoppedMillis() + GatewayProcess.GRACE_MILLIS
					&& request.sentMillis <= stop.stoppedMillis());
		boolean explainedByFault = this.faultPeriods.stream()
			.anyMatch((fault) -> fault[0] <= request.failedMillis
					&& fault[1] + DELIVERY_LIMIT_MILLIS >= request.sentMillis);
		return cutDuringStop && !explainedByFault;
	}

	private record PlannedStop(String host, long stoppedMillis) {

	}

	/**
	 * A request and its end. Written by one client thread, read after it has ended.
	 */
	private static final class ClientRequest {

		final boolean idempotent;

		final String apiKey;

		final String host;

		final long sentMillis;

		volatile int status;

		volatile boolean wrongResponse;

		volatile String responseBody = "";

		volatile long failedMillis = -1;

		ClientRequest(boolean idempotent, String apiKey, String host, long sentMillis) {
			this.idempotent = idempotent;
			this.apiKey = apiKey;
			this.host = host;
			this.sentMillis = sentMillis;
		}

	}

}
