package carawayswitch.standin;

/**
 * Speed and capacity of an engine stand-in. Immutable.
 *
 * @param stepMillis duration of a step in milliseconds; each running sequence that has
 * completed its prefill generates one token per step
 * @param prefillTokensPerStep maximum number of prompt tokens that are prefilled per
 * step, over all sequences
 * @param maxRunning maximum number of sequences in the running batch
 * @param cacheTokens capacity of the prefix cache in tokens
 * @param reportLagMillis age of the load report in milliseconds
 * @param checksFences whether orders with a fencing token below the highest one seen are
 * rejected
 */
public record EngineProfile(long stepMillis, int prefillTokensPerStep, int maxRunning, int cacheTokens,
		long reportLagMillis, boolean checksFences) {

	/** Fast engine of a new generation. */
	public static final EngineProfile FAST = new EngineProfile(5, 400, 16, 20_000, 1000, true);

	/** Slow engine of an old generation, which checks no fencing tokens. */
	public static final EngineProfile SLOW = new EngineProfile(15, 150, 8, 10_000, 2000, false);

}
