package carawayswitch.schedule;

import java.util.Arrays;

/**
 * Factors on the estimated waits of the levels of overloaded work. They cover what an
 * estimate does not know: more urgent work that arrives meanwhile, answers that are
 * longer than expected and engines that become slow. A factor grows with each request
 * that was queued as on time and became late, and shrinks with each that was dispatched
 * on time after a wait, so that about one in ten becomes late. Invariant: each factor is
 * between {@link #MIN_FACTOR} and {@link #MAX_FACTOR}. Confined to its scheduler.
 */
final class WaitMargin {

	/** Least factor, which applies to work that is not overloaded. */
	static final double MIN_FACTOR = 1.4;

	/**
	 * Largest factor, so that a level that was not served for a while is soon admitted
	 * again.
	 */
	static final double MAX_FACTOR = 6;

	/** Growth of a factor with each request that became late. */
	private static final double GROWTH = 1.1;

	/**
	 * Change of a factor with each request that was dispatched on time. With
	 * {@link #GROWTH} it is in balance while one request in ten becomes late.
	 */
	private static final double DECAY = 0.99;

	private final double[] factors = new double[PoolPriority.LEVEL_COUNT];

	WaitMargin() {
		Arrays.fill(this.factors, MIN_FACTOR);
	}

	double factor(int level) {
		return this.factors[level];
	}

	// Records that a request became late while it was queued.
	void onMissed(int level) {
		this.factors[level] = Math.min(MAX_FACTOR, this.factors[level] * GROWTH);
	}

	// Records that a request was dispatched on time after it had waited.
	void onServed(int level) {
		this.factors[level] = Math.max(MIN_FACTOR, this.factors[level] * DECAY);
	}

}
