package carawayswitch.schedule;

import java.util.Comparator;
import java.util.Set;

/**
 * A possible cause of crashes. Immutable.
 *
 * @param segments segments that the lost attempts have in common
 * @param engines ids of the engines and of their starts
 * @param crashes number of independent crashes
 * @param unexplained losses since the first crash that the cause does not explain
 * @param otherAttempts attempts without the segments since the first crash
 */
record CrashCause(Set<String> segments, Set<String> engines, int crashes, long unexplained, double otherAttempts) {

	/** Fewest independent crashes after which a segment is blamed. */
	static final int MIN_CRASHES = 3;

	/**
	 * Largest probability that a segment is blamed although it was only at hand in
	 * crashes that have another cause.
	 */
	static final double MAX_ERROR_PROBABILITY = 0.0001;

	static final Comparator<CrashCause> MOST_LIKELY_FIRST = Comparator.comparingDouble(CrashCause::lossRateOfOthers)
		.thenComparing(Comparator.<CrashCause>comparingInt((cause) -> cause.segments.size()).reversed())
		.thenComparing(Comparator.<CrashCause>comparingInt((cause) -> cause.engines.size()).reversed());

	// Rule of succession: few attempts leave the rate uncertain.
	double lossRateOfOthers() {
		return (this.unexplained + 1) / (this.otherAttempts + 2);
	}

	// Whether other attempts are lost too rarely for a coincidence.
	boolean sufficient() {
		return this.crashes >= MIN_CRASHES && Math.pow(lossRateOfOthers(), this.crashes) <= MAX_ERROR_PROBABILITY;
	}

}
