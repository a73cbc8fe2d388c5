package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries in proportion to successes, so that retries do not multiply load when
 * every endpoint fails. Safe for use by several threads.
 */
public final class RetryBudget {

	private static final long CREDITS_PER_RETRY = 1000;

	private static final long MAX_CREDITS = 20 * CREDITS_PER_RETRY;

	private final long creditsPerSuccess;

	private final AtomicLong credits = new AtomicLong(MAX_CREDITS / 2);

	/**
	 * Creates a budget.
	 * @param ratio retries allowed for each success
	 */
	public RetryBudget(double ratio) {
		this.creditsPerSuccess = (long) (ratio * CREDITS_PER_RETRY);
	}

	/**
	 * Records a success.
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
