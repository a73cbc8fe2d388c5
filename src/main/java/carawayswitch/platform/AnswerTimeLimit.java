package carawayswitch.platform;

import java.util.function.Consumer;
import java.util.function.IntSupplier;

import carawayswitch.time.CheckAfterInput;

/**
 * Time limit of a call. An answer that had arrived when the limit was over is still read,
 * one part in each turn of the event loop; the call expires after a turn without a part.
 * Confined to the thread of the event loop.
 */
final class AnswerTimeLimit {

	/**
	 * Turns of the event loop in which parts are read after the limit; more than the
	 * buffer of a socket takes.
	 */
	private static final int MAX_LATE_TURNS = 512;

	private final IntSupplier receivedParts;

	private final Runnable onExpired;

	private final CheckAfterInput check;

	private int partsBefore;

	private int lateTurns;

	/**
	 * Creates a time limit.
	 * @param nextTurn runs a task one turn of the event loop later, after the sockets
	 * have been read
	 * @param receivedParts returns the number of parts of the answer that were read
	 * @param onExpired called if the answer has not come
	 */
	AnswerTimeLimit(Consumer<Runnable> nextTurn, IntSupplier receivedParts, Runnable onExpired) {
		this.receivedParts = receivedParts;
		this.onExpired = onExpired;
		this.check = new CheckAfterInput(nextTurn, this::check);
	}

	/**
	 * Ends the call unless an answer has arrived.
	 * @param now monotonic time in milliseconds at which the time is over
	 */
	void onDue(long now) {
		this.partsBefore = this.receivedParts.getAsInt();
		this.check.request(now);
	}

	private void check(long now) {
		boolean advanced = this.receivedParts.getAsInt() > this.partsBefore;
		if (advanced && ++this.lateTurns < MAX_LATE_TURNS) {
			onDue(now);
		}
		else {
			this.onExpired.run();
		}
	}

}
