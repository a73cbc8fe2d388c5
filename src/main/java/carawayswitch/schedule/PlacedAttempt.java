package carawayswitch.schedule;

/**
 * An attempt that was dispatched to an engine. Confined to its scheduler.
 */
final class PlacedAttempt {

	final PoolRequest request;

	final String engine;

	final long dispatchedAt;

	final double expectedFirstEventMillis;

	/**
	 * Prompt tokens that the engine still had to prefill when this was dispatched.
	 */
	final int backlogTokens;

	/** Whether the first event of the answer has arrived. */
	boolean answering;

	/** Whether the answer has named a limit of requests per second. */
	boolean namedLimit;

	/** Whether another scheduler has dispatched this attempt. */
	boolean adopted;

	/** Whether the work was late when it was dispatched. */
	boolean late;

	/** Whether the stream pauses for longer than its route allows. */
	boolean stalled;

	PlacedAttempt(PoolRequest request, String engine, long dispatchedAt, double expectedFirstEventMillis,
			int backlogTokens) {
		this.request = request;
		this.engine = engine;
		this.dispatchedAt = dispatchedAt;
		this.expectedFirstEventMillis = expectedFirstEventMillis;
		this.backlogTokens = backlogTokens;
	}

}
