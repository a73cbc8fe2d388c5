package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Estimates the prefill and decode speed of one engine of a pool from the times at which
 * its answers begin and end. Times are in milliseconds. Not thread-safe.
 */
final class EngineSpeedEstimator {

	/** Assumed time to first event for an empty prompt, in milliseconds. */
	static final double BASE_LATENCY_MILLIS = 20;

	/** Time per prompt token in milliseconds, assumed before the first sample. */
	static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.02;

	/** Time per output token in milliseconds, assumed before the first sample. */
	static final double INITIAL_DECODE_MILLIS_PER_TOKEN = 4;

	/** Share of the time per output token that grows with the number of requests. */
	static final double BATCH_DEPENDENT_SHARE = 0.2;

	/**
	 * Number of first samples of which the median counts. Up to two of them may be
	 * disturbed by a pause of the engine. Later ones count by moving averages.
	 */
	static final int MEDIAN_SAMPLES = 5;

	/** Weight of the newest sample in the moving averages. */
	private static final double SMOOTHING_FACTOR = 0.25;

	/** Weight of the newest stream in the moving average of broken gaps. */
	private static final double GAP_SMOOTHING_FACTOR = 0.1;

	private static final double MIN_PREFILL_FACTOR = 0.2;

	private static final double MAX_PREFILL_FACTOR = 30;

	/**
	 * Placeholder for a pool without a usable engine, which rejects requests before their
	 * wait is estimated. Must not be given samples.
	 */
	static final EngineSpeedEstimator NONE = new EngineSpeedEstimator();

	/** Ratio of the measured to the assumed time to first event. */
	private double prefillFactor = 1;

	private double brokenGapRate;

	private double decodeMillisPerToken = INITIAL_DECODE_MILLIS_PER_TOKEN;

	private boolean sampled;

	private final List<Double> firstPrefillFactors = new ArrayList<>();

	private final List<Double> firstDecodeMillis = new ArrayList<>();

	/**
	 * Starts from the medians of other engines that have samples, if there are any.
	 * @param others estimators of engines of the same pool
	 */
	void startFrom(Collection<EngineSpeedEstimator> others) {
		List<EngineSpeedEstimator> known = others.stream().filter((other) -> other.sampled).toList();
		if (!known.isEmpty()) {
			this.prefillFactor = median(known, (other) -> other.prefillFactor);
			this.decodeMillisPerToken = median(known, (other) -> other.decodeMillisPerToken);
		}
	}

	private static double median(List<EngineSpeedEstimator> estimators,
			ToDoubleFunction<EngineSpeedEstimator> property) {
		return estimators.stream().mapToDouble(property).sorted().skip(estimators.size() / 2).findFirst().orElseThrow();
	}

	void onFirstEvent(int promptTokens, long millis) {
		double sample = millis / assumedFirstEventMillis(promptTokens);
		double boundedSample = Math.max(MIN_PREFILL_FACTOR, Math.min(MAX_PREFILL_FACTOR, sample));
		this.prefillFactor = nextEstimate(this.prefillFactor, boundedSample, this.firstPrefillFactors);
	}

	void onStream(int tokens, long millis) {
		if (tokens > 0 && millis > 0) {
			this.sampled = true;
			this.decodeMillisPerToken = nextEstimate(this.decodeMillisPerToken, (double) millis / tokens,
					this.firstDecodeMillis);
		}
	}

	// The expectation before the first sample counts as one of the first samples, and the
	// lower of two middle ones is taken, since pauses only lengthen samples.
	private static double nextEstimate(double estimate, double sample, List<Double> firstSamples) {
		if (firstSamples.size() > MEDIAN_SAMPLES) {
			return estimate + SMOOTHING_FACTOR * (sample - estimate);
		}
		if (firstSamples.isEmpty()) {
			firstSamples.add(estimate);
		}
		firstSamples.add(sample);
		return firstSamples.stream().sorted().skip((firstSamples.size() - 1) / 2).findFirst().orElseThrow();
	}

	/**
	 * Records the end of a stream whose route limits the pauses between events.
	 * @param withinLimit true if all its pauses were within the limit
	 */
	void onPauses(boolean withinLimit) {
		this.brokenGapRate += GAP_SMOOTHING_FACTOR * ((withinLimit ? 0 : 1) - this.brokenGapRate);
	}

	/**
	 * Returns the share of recent streams with a pause beyond the limit of their route.
	 * @return share from 0 to 1
	 */
	double brokenGapRate() {
		return this.brokenGapRate;
	}

	private static double assumedFirstEventMillis(int promptTokens) {
		return BASE_LATENCY_MILLIS + promptTokens * INITIAL_PREFILL_MILLIS_PER_TOKEN;
	}

	double firstEventMillis(int promptTokens) {
		return assumedFirstEventMillis(promptTokens) * this.prefillFactor;
	}

	/**
	 * Returns the sum of the times to first event of several requests that run one after
	 * the other.
	 * @param requests number of requests
	 * @param promptTokens total number of tokens in their prompts
	 * @return the time in milliseconds
	 */
	double firstEventMillis(int requests, long promptTokens) {
		return (requests * BASE_LATENCY_MILLIS + promptTokens * INITIAL_PREFILL_MILLIS_PER_TOKEN) * this.prefillFactor;
	}

	double decodeMillisPerToken() {
		return this.decodeMillisPerToken;
	}

	/**
	 * Returns the time to stream output tokens after the first event.
	 * @param tokens number of output tokens
	 * @param running number of requests that run at the engine
	 * @param slots number of requests that the engine can run at once
	 * @return the time in milliseconds
	 */
	double streamMillis(long tokens, int running, int slots) {
		double batchFactor = 1 - BATCH_DEPENDENT_SHARE + BATCH_DEPENDENT_SHARE * running / Math.max(1, slots);
		return tokens * this.decodeMillisPerToken * batchFactor;
	}

}
