package carawayswitch.outcome;

import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Option;

/**
 * State machine that decides atomically whether an attempt may be written to an endpoint.
 * The decision is final. Invariant: a {@link NotRunProof} is returned only if no write
 * has begun, and no write can begin after that. Thread-safe.
 *
 * <pre>
 * AttemptState attempt = new AttemptState();
 * if (attempt.beginWrite()) {
 *     // write to the endpoint
 * }
 * Option&lt;NotRunProof&gt; proof = attempt.close();
 * </pre>
 */
public final class AttemptState {

	private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PENDING);

	/**
	 * Claims the right to write. Must be called before the first byte is sent.
	 * @return true if the caller may write; at most one call returns true
	 */
	public boolean beginWrite() {
		return this.phase.compareAndSet(Phase.PENDING, Phase.WRITTEN);
	}

	/**
	 * Closes the attempt so that no write can begin.
	 * @return proof that nothing was written, or nothing if a write has begun
	 */
	public Option<NotRunProof> close() {
		this.phase.compareAndSet(Phase.PENDING, Phase.CLOSED);
		return (this.phase.get() == Phase.CLOSED) ? Option.of(NotRunProof.INSTANCE) : Option.none();
	}

	/**
	 * Records that the connection to the endpoint was never established, so that the
	 * write claimed by {@link #beginWrite()} did not take place.
	 * @return proof that nothing was written
	 */
	public NotRunProof connectionNeverEstablished() {
		this.phase.set(Phase.CLOSED);
		return NotRunProof.INSTANCE;
	}

	/**
	 * Returns whether a write has begun.
	 * @return true if a byte may have reached an endpoint
	 */
	public boolean writeBegun() {
		return this.phase.get() == Phase.WRITTEN;
	}

	private enum Phase {

		PENDING, WRITTEN, CLOSED

	}

}
