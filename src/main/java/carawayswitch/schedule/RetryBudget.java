package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries in proportion to successes, so that retries do not multiply load when
 * every endpoint fails. Safe for use by several threads.
 */
public final class RetryBudget {

	private static final long UNIT = 1000;

	private static final long MAX_SAVED = 20 * UNIT;

	private final long earned;

	private final AtomicLong balance = new AtomicLong(MAX_SAVED / 2);

	/**
	 * Creates a budget.
	 * @param ratio retries allowed for each success
	 */
	public RetryBudget(double ratio) {
		this.earned = (long) (ratio * UNIT);
	}

	/**
	 * Records a success.
	 */
	public void onSuccess() {
		this.balance.updateAndGet((value) -> Math.min(MAX_SAVED, value + this.earned));
	}

	/**
	 * Takes one retry out of the budget.
	 * @return true if the retry is allowed
	 */
	public boolean tryRetry() {
		return this.balance.getAndUpdate((value) -> (value >= UNIT) ? value - UNIT : value) >= UNIT;
	}

}
