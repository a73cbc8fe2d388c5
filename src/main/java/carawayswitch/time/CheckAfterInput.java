package carawayswitch.time;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.activej.reactor.Reactor;

/**
 * A check of what has not arrived, such as a time limit. It is made one turn of the event
 * loop after it was requested, as of the time of the request, so that what arrived while
 * the process was paused is read first. Invariants: a check sees the input that the event
 * loop reads in one look at its sockets after the time for which it is made; no check is
 * made after {@link #cancel()} until it is requested again. Confined to the thread of the
 * event loop.
 *
 * <pre>
 * CheckAfterInput check = CheckAfterInput.on(reactor, this::closeIfSilent);
 * reactor.delayBackground(limitMillis, () -&gt; check.request(clock.millis()));
 * </pre>
 */
public final class CheckAfterInput {

	private final Consumer<Runnable> nextTurn;

	private final LongConsumer check;

	private boolean requested;

	private long requestNumber;

	/**
	 * Creates a check that is not requested yet.
	 * @param nextTurn runs a task one turn of the event loop later, after the sockets
	 * have been read
	 * @param check receives the monotonic time in milliseconds as of which to judge
	 */
	public CheckAfterInput(Consumer<Runnable> nextTurn, LongConsumer check) {
		this.nextTurn = nextTurn;
		this.check = check;
	}

	/**
	 * Creates a check that is made after all tasks that the reading of the sockets has
	 * posted.
	 * @param reactor the event loop
	 * @param check receives the monotonic time in milliseconds as of which to judge
	 * @return the check, which is not requested yet
	 */
	public static CheckAfterInput on(Reactor reactor, LongConsumer check) {
		return new CheckAfterInput((task) -> reactor.postNext(() -> reactor.postLast(task)), check);
	}

	/**
	 * Requests the check. Has no effect if it is already requested.
	 * @param now monotonic time in milliseconds, read in this turn of the event loop
	 */
	public void request(long now) {
		if (!this.requested) {
			this.requested = true;
			long number = ++this.requestNumber;
			this.nextTurn.accept(() -> run(number, now));
		}
	}

	private void run(long number, long now) {
		if (this.requested && number == this.requestNumber) {
			this.requested = false;
			this.check.accept(now);
		}
	}

	/** Withdraws a request. */
	public void cancel() {
		this.requested = false;
	}

}
