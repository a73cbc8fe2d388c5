package carawayswitch.standin;

/**
 * Speed and limits of an engine stand-in. Immutable.
 *
 * @param stepMillis time of a step in milliseconds; each running answer gains a token
 * @param prefillTokensPerStep prompt tokens that are processed in a step
 * @param maxRunning most answers that run at once
 * @param cacheTokens capacity of the prefix cache in tokens
 * @param reportLagMillis age of the load report in milliseconds
 * @param checksFences whether orders with an old fencing number are refused
 */
public record EngineProfile(long stepMillis, int prefillTokensPerStep, int maxRunning, int cacheTokens,
		long reportLagMillis, boolean checksFences) {

	/** A fast engine of a new generation. */
	public static final EngineProfile FAST = new EngineProfile(5, 400, 16, 20_000, 1000, true);

	/** A slow engine of an old generation. */
	public static final EngineProfile SLOW = new EngineProfile(15, 150, 8, 10_000, 2000, false);

}
