package carawayswitch.measure;

import java.util.List;

/**
 * Load pattern for one pool of engines. Immutable.
 *
 * @param name name of the pattern
 * @param rateFactor factor on the steady request rates of all kinds
 * @param bursts periods of a higher request rate
 * @param outages periods in which engines are unavailable
 */
record PoolLoad(String name, double rateFactor, List<Burst> bursts, List<Outage> outages) {

	/** Time in seconds for which requests arrive. */
	static final double ARRIVAL_SECONDS = 34;

	/** Kinds of requests in order of urgency: long reports, summaries and tags. */
	static final List<Kind> KINDS = List.of(new Kind("report", 4, 11.3, 6610, 1.4, 380, 1.5, 1000, 15_000, 6.8, 2.0),
			new Kind("summary", 3, 10.6, 628, 1.0, 290, 1.5, 400, 12_000, 1.7, 0.51),
			new Kind("tag", 2, 14.9, 1800, 1.3, 23, 1.5, 400, 3000, 0.34, 0.1));

	/** Factors on the step time of each engine; two engines are stragglers. */
	static final double[] STEP_TIME_FACTORS = { 0.68, 0.68, 3.0, 0.68, 0.68, 3.0 };

	/**
	 * Longest pause between two events of an answer that is on time, in milliseconds.
	 */
	static final double MAX_GAP_MILLIS = 250;

	/** Share of each organisation in the request rate; a few are large. */
	static final double[] ORGANISATION_SHARES = { 0.44, 0.2, 0.14, 0.12, 0.1 };

	/** All load patterns. */
	static final List<PoolLoad> ALL = List.of(new PoolLoad("steady", 1.0, List.of(), List.of()),
			new PoolLoad("tag-flood", 1.3, List.of(new Burst(4.6, 6.7, 2.5, 2, -1)), List.of()),
			new PoolLoad("report-flood", 1.3, List.of(new Burst(12, 3.3, 1.8, 0, -1)), List.of()),
			new PoolLoad("large-organisation", 1.3, List.of(new Burst(7, 6, 6, -1, 4)), List.of()),
			new PoolLoad("lost-engines", 1.3, List.of(),
					List.of(new Outage(8, 5, 0, false), new Outage(11, 2, 1, false))),
			new PoolLoad("dark-engines", 1.0, List.of(),
					List.of(new Outage(8, 4.5, 0, true), new Outage(20, 4.5, 1, true))),
			new PoolLoad("everything", 1.6,
					List.of(new Burst(4.5, 6.9, 2.3, 2, -1), new Burst(12, 3.2, 1.8, 0, -1),
							new Burst(8.7, 5.3, 3, -1, 3)),
					List.of(new Outage(8, 5, 0, false), new Outage(11, 2, 1, false), new Outage(2, 32, 5, false))));

	/**
	 * Returns the request rate of a kind for an organisation.
	 * @param kind index of the kind
	 * @param organisation index of the organisation
	 * @param second time in seconds
	 * @return requests per second
	 */
	double requestsPerSecond(int kind, int organisation, double second) {
		double rate = KINDS.get(kind).requestsPerSecond() * ORGANISATION_SHARES[organisation] * this.rateFactor;
		for (Burst burst : this.bursts) {
			boolean applies = (burst.kind() < 0 || burst.kind() == kind)
					&& (burst.organisation() < 0 || burst.organisation() == organisation);
			if (applies && second >= burst.startSecond() && second < burst.startSecond() + burst.durationSeconds()) {
				rate *= burst.rateFactor();
			}
		}
		return rate;
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
	 * Period with a higher request rate. Immutable.
	 *
	 * @param startSecond start in seconds
	 * @param durationSeconds length in seconds
	 * @param rateFactor factor on the request rate
	 * @param kind index of the kind, or -1 for all
	 * @param organisation index of the organisation, or -1 for all
	 */
	record Burst(double startSecond, double durationSeconds, double rateFactor, int kind, int organisation) {

	}

	/**
	 * Period in which an engine is unavailable. Immutable.
	 *
	 * @param startSecond start in seconds
	 * @param durationSeconds length in seconds
	 * @param engine index of the engine
	 * @param dark true if the engine keeps its connections and falls silent, false if it
	 * fails and is replaced by a new one
	 */
	record Outage(double startSecond, double durationSeconds, int engine, boolean dark) {

	}

}
