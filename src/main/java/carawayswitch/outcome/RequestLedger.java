package carawayswitch.outcome;

import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;

/**
 * Counts the attempts of one request that are not proved to be unwritten. Invariant: a
 * {@link NotRunProof} is given out only while every attempt so far is proved unwritten.
 * Safe for use by several threads.
 */
public final class RequestLedger {

	private final AtomicInteger unproved = new AtomicInteger();

	private final AtomicInteger attempts = new AtomicInteger();

	/**
	 * Records that an attempt begins.
	 * @return number of the attempt, starting at 1
	 */
	public int beginAttempt() {
		this.unproved.incrementAndGet();
		return this.attempts.incrementAndGet();
	}

	/**
	 * Records that an attempt on this host was not run.
	 * @param proof proof for that attempt
	 */
	public void attemptNotRun(NotRunProof proof) {
		if (proof != null) {
			this.unproved.decrementAndGet();
		}
	}

	/**
	 * Records the word of the owner of the endpoint that the attempt was not dispatched
	 * and never will be.
	 * @param outcome the outcome that the owner reported
	 */
	public void ownerReported(Outcome outcome) {
		if (outcome == Outcome.NOT_RUN) {
			this.unproved.decrementAndGet();
		}
	}

	/**
	 * Returns the proof that the request was not run.
	 * @return the proof, or nothing if an attempt may have been written
	 */
	public Option<NotRunProof> proof() {
		return (this.unproved.get() == 0) ? Option.of(NotRunProof.INSTANCE) : Option.none();
	}

	/**
	 * Returns the number of attempts so far.
	 * @return the number of attempts
	 */
	public int attempts() {
		return this.attempts.get();
	}

}
