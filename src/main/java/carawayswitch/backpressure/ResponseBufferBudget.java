package carawayswitch.backpressure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Bound on the response bytes that a host buffers for all clients that do not read them.
 * While it is exceeded, responses are to be ended: first those whose time is over, since
 * their clients no longer wait, then the least urgent, and of these the one with most
 * buffered bytes. Not safe for use by several threads.
 *
 * <pre>
 * budget.update(connection, new ResponseBufferBudget.Buffered(urgency, deadlineAt, bytes));
 * for (C next = budget.removeExcess(now); next != null; next = budget.removeExcess(now)) {
 *     // end the response on this connection
 * }
 * </pre>
 *
 * @param <C> type of the connections, which are compared by {@code equals}
 */
public final class ResponseBufferBudget<C> {

	/**
	 * Part of the heap that buffered responses may take, as its divisor. Request bodies
	 * take a quarter and plain responses up to 24 MiB, so that nearly half of a heap of
	 * 160 MB is left for everything else.
	 */
	private static final int HEAP_DIVISOR = 8;

	private final Map<C, Buffered> responses = new HashMap<>();

	private final long limitBytes;

	private long bufferedBytes;

	/**
	 * Creates a budget of which nothing is used.
	 * @param limitBytes most bytes that are buffered
	 */
	public ResponseBufferBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Returns the limit for a process.
	 * @param heapBytes largest size of its heap in bytes
	 * @return the limit in bytes
	 */
	public static long limitOfHeap(long heapBytes) {
		return heapBytes / HEAP_DIVISOR;
	}

	/**
	 * Records what is buffered for a connection that has a response in progress.
	 * @param connection the connection
	 * @param buffered what is buffered now
	 */
	public void update(C connection, Buffered buffered) {
		Buffered before = (buffered.bytes() > 0) ? this.responses.put(connection, buffered)
				: this.responses.remove(connection);
		this.bufferedBytes += buffered.bytes() - ((before != null) ? before.bytes() : 0);
	}

	/**
	 * Records what is buffered for a connection whose response is complete and keeps its
	 * urgency and deadline.
	 * @param connection the connection
	 * @param bytes number of buffered bytes
	 */
	public void update(C connection, long bytes) {
		Buffered before = this.responses.getOrDefault(connection, Buffered.EXPIRED);
		update(connection, new Buffered(before.urgency(), before.deadlineAt(), bytes));
	}

	/**
	 * Takes out the connection whose response is to be ended next.
	 * @param now monotonic time in milliseconds
	 * @return the connection, or null if the limit is kept
	 */
	public C removeExcess(long now) {
		if (this.bufferedBytes <= this.limitBytes) {
			return null;
		}
		C next = this.responses.entrySet()
			.stream()
			.min(Map.Entry.comparingByValue(Buffered.firstToEnd(now)))
			.orElseThrow()
			.getKey();
		update(next, 0);
		return next;
	}

	/**
	 * Returns the buffered bytes of all connections.
	 * @return number of bytes
	 */
	public long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Returns the most bytes that are buffered.
	 * @return number of bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * What is buffered for one connection. Immutable.
	 *
	 * @param urgency urgency of its response
	 * @param deadlineAt monotonic time in milliseconds after which its client no longer
	 * waits
	 * @param bytes number of bytes
	 */
	public record Buffered(int urgency, long deadlineAt, long bytes) {

		static final Buffered EXPIRED = new Buffered(0, Long.MIN_VALUE, 0);

		static Comparator<Buffered> firstToEnd(long now) {
			return Comparator.<Buffered, Boolean>comparing((buffered) -> now < buffered.deadlineAt())
				.thenComparingInt(Buffered::urgency)
				.thenComparing(Comparator.comparingLong(Buffered::bytes).reversed());
		}

	}

}
