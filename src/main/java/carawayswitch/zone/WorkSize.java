package carawayswitch.zone;

import carawayswitch.schedule.Work;

/**
 * Length and bytes of one piece of work. Immutable.
 *
 * @param units time in milliseconds for which it is assumed to occupy a slot; more than 0
 * @param bytes bytes of the request and the expected answer
 */
public record WorkSize(double units, double bytes) {

	/**
	 * Bytes of an event; events have 65 to 75.
	 */
	static final double EVENT_BYTES = 70;

	/**
	 * Bytes of a request body per prompt token, used if the size is not known: bodies of
	 * 830 to 72,000 bytes hold 628 to 54,600 tokens.
	 */
	static final double BYTES_PER_PROMPT_TOKEN = 1.32;

	/** Slot time in milliseconds that is assumed for a request of a plain service. */
	static final double PLAIN_UNITS = 20;

	// Times at an engine as EngineSpeedEstimator assumes them before its first sample.
	// Only their ratio matters here, since measured times correct them.
	private static final double FIRST_EVENT_MILLIS = 20;

	private static final double MILLIS_PER_PROMPT_TOKEN = 0.02;

	private static final double MILLIS_PER_OUTPUT_TOKEN = 4;

	/**
	 * Returns the size of work for an engine.
	 * @param work the work
	 * @param tokensPerEvent tokens of an event, 1 or more
	 * @return its size
	 */
	public static WorkSize ofEngineWork(Work work, int tokensPerEvent) {
		double requestBytes = (work.bytes() > 0) ? work.bytes() : work.promptTokens() * BYTES_PER_PROMPT_TOKEN;
		double events = Math.ceil((double) work.expectedTokens() / Math.max(1, tokensPerEvent));
		return new WorkSize(FIRST_EVENT_MILLIS + work.promptTokens() * MILLIS_PER_PROMPT_TOKEN
				+ work.expectedTokens() * MILLIS_PER_OUTPUT_TOKEN, requestBytes + events * EVENT_BYTES);
	}

	/**
	 * Returns the size of a request of a plain service.
	 * @param bytes bytes of the request and the expected answer
	 * @return its size
	 */
	public static WorkSize ofPlainRequest(double bytes) {
		return new WorkSize(PLAIN_UNITS, bytes);
	}

}
