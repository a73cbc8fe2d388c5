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

	static final double NOTHING = Double.NaN;

	double goodput(Predicate<Request> which) {
		long all = 0;
		long good = 0;
		for (RequestResult result : this.results) {
			if (which.test(result.request)) {
				all++;
				good += result.good() ? 1 : 0;
			}
		}
		return (all > 0) ? (double) good / all : NOTHING;
	}

	double goodTokens() {
		return this.results.stream()
			.filter(RequestResult::good)
			.mapToDouble((result) -> result.request.outputTokens())
			.sum();
	}

	double wastedShare() {
		return (this.promptTokens > 0) ? (double) this.wastedPromptTokens / this.promptTokens : 0;
	}

	long firstTokenMillis(Predicate<Request> which, double quantile) {
		List<Long> millis = new ArrayList<>();
		for (RequestResult result : this.results) {
			if (which.test(result.request) && result.firstTokenAt >= 0) {
				millis.add(result.firstTokenMillis());
			}
		}
		if (millis.isEmpty()) {
			return -1;
		}
		millis.sort(null);
		return millis.get((int) Math.min(millis.size() - 1, Math.floor(millis.size() * quantile)));
	}

	/**
	 * Returns Jain's index over the share of each organisation's requests that were
	 * answered in time.
	 * @param which the requests that count
	 * @return the index, 1 when all organisations fare alike
	 */
	double fairness(Predicate<Request> which) {
		Map<String, int[]> counts = new TreeMap<>();
		for (RequestResult result : this.results) {
			if (which.test(result.request)) {
				int[] count = counts.computeIfAbsent(result.request.organisation(), (key) -> new int[2]);
				count[0]++;
				count[1] += result.good() ? 1 : 0;
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
