package carawayswitch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Results of one simulation. Immutable.
 *
 * @param results result of each request
 * @param promptTokens prompt tokens that the engines processed
 * @param wastedPromptTokens prompt tokens processed for requests that were dropped,
 * repeated or late
 * @param protectedShed protected requests that were not run while less urgent work was
 * queued or ran
 */
record SimulationReport(List<RequestResult> results, long promptTokens, long wastedPromptTokens, int protectedShed) {

	/** Goodput if no request matches. */
	static final double NO_REQUESTS = Double.NaN;

	/**
	 * Returns the goodput.
	 * @param filter selects the requests that count
	 * @return share of the requests that were answered in time, or {@link #NO_REQUESTS}
	 */
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

	/**
	 * Returns the goodput in tokens.
	 * @return number of output tokens of all requests that were answered in time
	 */
	double goodputTokens() {
		return this.results.stream()
			.filter(RequestResult::answeredInTime)
			.mapToDouble((result) -> result.request.outputTokens())
			.sum();
	}

	double wastedPrefillShare() {
		return (this.promptTokens > 0) ? (double) this.wastedPromptTokens / this.promptTokens : 0;
	}

	/**
	 * Returns a quantile of the time to first token.
	 * @param filter selects the requests that count; those without a first token do not
	 * @param quantile the quantile, from 0 to 1
	 * @return time in milliseconds, or -1 if no request had a first token
	 */
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
	 * Returns Jain's fairness index over the goodput of each organisation.
	 * @param filter selects the requests that count
	 * @return the index: 1 if all organisations have the same goodput, and 0 if no
	 * request was answered in time
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
