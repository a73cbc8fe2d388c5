package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Retry budget as a token bucket: each success earns a fraction of a retry, so that
 * retries do not multiply the load when all endpoints fail. It starts with 10 retries and
 * saves at most 20. Safe for use by several threads.
 */
public final class RetryBudget {

	/** Credits that one retry costs; makes fractions of a retry whole numbers. */
	private static final long CREDITS_PER_RETRY = 1000;

	private static final long MAX_CREDITS = 20 * CREDITS_PER_RETRY;

	private final long creditsPerSuccess;

	private final AtomicLong credits = new AtomicLong(MAX_CREDITS / 2);

	/**
	 * Creates a budget.
	 * @param retriesPerSuccess number of retries that each success earns
	 */
	public RetryBudget(double retriesPerSuccess) {
		this.creditsPerSuccess = (long) (retriesPerSuccess * CREDITS_PER_RETRY);
	}

	/**
	 * Records a successful request.
	 */
	public void onSuccess() {
		this.credits.updateAndGet((current) -> Math.min(MAX_CREDITS, current + this.creditsPerSuccess));
	}

	/**
	 * Takes one retry out of the budget.
	 * @return true if the retry is allowed
	 */
	public boolean tryRetry() {
		return this.credits.getAndUpdate((current) -> (current >= CREDITS_PER_RETRY) ? current - CREDITS_PER_RETRY
				: current) >= CREDITS_PER_RETRY;
	}

}
