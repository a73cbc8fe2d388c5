package carawayswitch.outcome;

import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;

/**
 * Counts the attempts of one request and those that may have run. Invariant: a
 * {@link NotRunProof} is returned only while every attempt so far is proved not to have
 * run. Thread-safe.
 */
public final class AttemptTracker {

	private final AtomicInteger unprovenAttempts = new AtomicInteger();

	private final AtomicInteger attempts = new AtomicInteger();

	/**
	 * Records that an attempt begins.
	 * @return number of the attempt, starting at 1
	 */
	public int beginAttempt() {
		this.unprovenAttempts.incrementAndGet();
		return this.attempts.incrementAndGet();
	}

	/**
	 * Records that an attempt on this host was not run.
	 * @param proof proof for that attempt; null is ignored
	 */
	public void recordNotRun(NotRunProof proof) {
		if (proof != null) {
			this.unprovenAttempts.decrementAndGet();
		}
	}

	/**
	 * Records the outcome that the owner of the endpoint reported for an attempt.
	 * {@link Outcome#NOT_RUN} proves that the attempt was not dispatched and never will
	 * be.
	 * @param outcome the reported outcome
	 */
	public void recordOwnerOutcome(Outcome outcome) {
		if (outcome == Outcome.NOT_RUN) {
			this.unprovenAttempts.decrementAndGet();
		}
	}

	/**
	 * Returns the proof that the request was not run.
	 * @return the proof, or nothing if an attempt may have run
	 */
	public Option<NotRunProof> notRunProof() {
		return (this.unprovenAttempts.get() == 0) ? Option.of(NotRunProof.INSTANCE) : Option.none();
	}

	/**
	 * Returns the number of attempts so far.
	 * @return the number of attempts
	 */
	public int attempts() {
		return this.attempts.get();
	}

}
