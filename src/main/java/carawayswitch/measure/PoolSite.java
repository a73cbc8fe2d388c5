package carawayswitch.measure;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import carawayswitch.schedule.PoolPriority;

/**
 * Engines and steady demand of one pool. Immutable.
 *
 * @param name name of the site
 * @param engineModel model of all engines
 * @param stepTimeFactors factor on the step time of each engine
 * @param noise temporary slowdowns of the engines
 * @param tokensPerEvent tokens in an event of a stream
 * @param maxGapMillis longest pause between two events of an answer that is on time, in
 * milliseconds
 * @param kinds kinds of requests in order of urgency: long reports, summaries and tags
 * @param organisationUrgency urgency that all organisations have for all of their
 * requests, or null if the urgency of the kind decides
 * @param organisationShares share of each organisation in the request rate
 * @param wave demand over time
 */
record PoolSite(String name, EngineModel engineModel, List<Double> stepTimeFactors, Noise noise, int tokensPerEvent,
		double maxGapMillis, List<Kind> kinds, Integer organisationUrgency, List<Double> organisationShares,
		Wave wave) {

	/** Six engines, two of which are stragglers. */
	static final PoolSite SMALL = new PoolSite("small", new EngineModel(3.09, 0.102, 1 / 56.9, 1024, 8, 590_000),
			withStragglers(6), Noise.NONE, 5, 250,
			List.of(new Kind("report", 4, 11.3, 6610, 1.4, 380, 1.5, 1000, 15_000, 6.8, 2.0),
					new Kind("summary", 3, 10.6, 628, 1.0, 290, 1.5, 400, 12_000, 1.7, 0.51),
					new Kind("tag", 2, 14.9, 1800, 1.3, 23, 1.5, 400, 3000, 0.34, 0.1)),
			null, List.of(0.44, 0.2, 0.14, 0.12, 0.1), Wave.NONE);

	/**
	 * Callers compete for too little room at times, and late answers are worth a part.
	 */
	static final PoolSite SCARCE = new PoolSite("scarce", new EngineModel(3.37, 0.0109, 1 / 61.2, 1024, 8, 569_214),
			withStragglers(9), Noise.NONE, 7, 250,
			List.of(new Kind("report", 4, 15.3, 6610, 1.4, 385, 1.5, 800, 15_000, 7.6, 2.2),
					new Kind("summary", 3, 31, 628, 1.0, 291, 1.5, 300, 12_000, 1.6, 0.47),
					new Kind("tag", 2, 21.9, 1800, 1.3, 22, 1.5, 400, 3000, 0.35, 0.1)),
			3, skewedShares(), new Wave(0.27, 11));

	/** Engines and demand are uneven, and late answers are worth little. */
	static final PoolSite UNEVEN = new PoolSite("uneven", new EngineModel(3.82, 0.0227, 1 / 68.2, 1024, 6, 433_234),
			withStragglers(15), new Noise(0.15, 2.5, 600), 9, 300,
			List.of(new Kind("report", 4, 21.9, 6610, 1.4, 380, 1.5, 800, 12_000, 6.6, 0.66),
					new Kind("summary", 3, 22.7, 628, 1.0, 290, 1.5, 300, 10_000, 2.4, 0.24),
					new Kind("tag", 2, 41.9, 1800, 1.3, 23, 1.5, 400, 2500, 0.26, 0.026)),
			3, skewedShares(), new Wave(0.55, 15));

	// Each third engine is a straggler.
	private static List<Double> withStragglers(int engines) {
		return IntStream.range(0, engines).mapToObj((i) -> (i % 3 == 2) ? 3.0 : 0.68).toList();
	}

	// Sixteen organisations, a few of them large.
	private static List<Double> skewedShares() {
		List<Double> weights = IntStream.rangeClosed(1, 16).mapToObj((i) -> Math.pow(i, -1.2)).toList();
		double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
		return Collections.unmodifiableList(weights.stream().map((weight) -> weight / sum).toList());
	}

	PoolPriority priority(Kind kind) {
		return new PoolPriority((this.organisationUrgency != null) ? this.organisationUrgency : kind.urgency(),
				kind.urgency());
	}

	/**
	 * A kind of request. Immutable.
	 *
	 * @param name name of the kind
	 * @param urgency urgency of all requests of the kind
	 * @param requestsPerSecond steady request rate of all organisations together
	 * @param promptTokens mean length of the prompt in tokens
	 * @param promptLogStdDev standard deviation of the logarithm of the prompt's length
	 * @param outputTokens mean length of the answer in tokens
	 * @param outputLogStdDev standard deviation of the logarithm of the answer's length
	 * @param objectiveMillis maximum time to the first event for an answer that is on
	 * time, in milliseconds
	 * @param clientTimeoutMillis time from arrival to the last token after which the
	 * client gives up, in milliseconds
	 * @param onTimeValue value of an answer of mean size that is on time
	 * @param lateValue value of an answer of mean size that is late
	 */
	record Kind(String name, int urgency, double requestsPerSecond, double promptTokens, double promptLogStdDev,
			double outputTokens, double outputLogStdDev, long objectiveMillis, long clientTimeoutMillis,
			double onTimeValue, double lateValue) {

		/**
		 * Returns the size by which the value of an answer is weighted. An output token
		 * weighs as much as 10 prompt tokens.
		 * @param actualPromptTokens length of the prompt in tokens
		 * @param actualOutputTokens length of the answer in tokens
		 * @return 1 for mean lengths, and at most 3.1
		 */
		double relativeSize(double actualPromptTokens, double actualOutputTokens) {
			return 0.3 + 0.7 * Math.min(4,
					(actualPromptTokens + 10 * actualOutputTokens) / (this.promptTokens + 10 * this.outputTokens));
		}

	}

	/**
	 * Temporary slowdowns of engines. Immutable.
	 *
	 * @param share share of the engines that are slowed down at a time
	 * @param factor factor on the step time of these
	 * @param periodMillis time in milliseconds after which others are drawn
	 */
	record Noise(double share, double factor, long periodMillis) {

		static final Noise NONE = new Noise(0, 1, 0);

	}

	/**
	 * Demand that rises and falls. Immutable.
	 *
	 * @param swing largest deviation from the mean, as a share of it
	 * @param periodSeconds length of a wave in seconds
	 */
	record Wave(double swing, double periodSeconds) {

		static final Wave NONE = new Wave(0, 1);

		double factor(double second) {
			return 1 + this.swing * Math.sin(2 * Math.PI * second / this.periodSeconds);
		}

	}

}
