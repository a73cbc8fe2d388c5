package carawayswitch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Figures of one simulation. Immutable.
 *
 * @param results how each request ended
 * @param promptTokens prompt tokens that the engines processed
 * @param wastedPromptTokens prompt tokens processed for requests that were dropped,
 * repeated or late
 * @param protectedShed protected requests that were not run while less urgent work was
 * queued or ran
 */
record SimulationReport(List<RequestResult> results, long promptTokens, long wastedPromptTokens, int protectedShed) {

	static final double NO_REQUESTS = Double.NaN;

	double goodput(Predicate<Request> filter) {
		long total = 0;
		long inTime = 0;
		for (RequestResult result : this.results) {
			if (filter.test(result.request)) {
				total++;
				inTime += result.answeredInTime() ? 1 : 0;
			}
		}
		return (total > 0) ? (double) inTime / total : NO_REQUESTS;
	}

	double goodputTokens() {
		return this.results.stream()
			.filter(RequestResult::answeredInTime)
			.mapToDouble((result) -> result.request.outputTokens())
			.sum();
	}

	double wastedPrefillShare() {
		return (this.promptTokens > 0) ? (double) this.wastedPromptTokens / this.promptTokens : 0;
	}

	long firstTokenMillis(Predicate<Request> filter, double quantile) {
		List<Long> times = new ArrayList<>();
		for (RequestResult result : this.results) {
			if (filter.test(result.request) && result.firstTokenAt >= 0) {
				times.add(result.firstTokenMillis());
			}
		}
		if (times.isEmpty()) {
			return -1;
		}
		times.sort(null);
		return times.get((int) Math.min(times.size() - 1, Math.floor(times.size() * quantile)));
	}

	/**
	 * Returns Jain's index over the share of each organisation's requests that were
	 * answered in time.
	 * @param filter the requests that count
	 * @return the index, 1 when all organisations fare alike
	 */
	double jainIndex(Predicate<Request> filter) {
		Map<String, int[]> counts = new TreeMap<>();
		for (RequestResult result : this.results) {
			if (filter.test(result.request)) {
				int[] count = counts.computeIfAbsent(result.request.organisation(), (key) -> new int[2]);
				count[0]++;
				count[1] += result.answeredInTime() ? 1 : 0;
			}
		}
		double sum = 0;
		double squares = 0;
		for (int[] count : counts.values()) {
			double share = (double) count[1] / count[0];
			sum += share;
			squares += share * share;
		}
		return (squares > 0) ? sum * sum / (counts.size() * squares) : 0;
	}

}
