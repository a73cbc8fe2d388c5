package carawayswitch.http;

import java.util.function.IntSupplier;

import carawayswitch.config.Tier;

/**
 * Bound on the bytes that a host holds for the bodies of its requests, for all
 * connections together. A body is counted with {@link #HELD_COPIES} copies as it arrives
 * and to the end of its request. The first half is open to all requests; the rest is
 * divided by urgency, so that the most urgent requests are refused last. A refusal may be
 * avoided by ending less urgent requests, see {@link #reclaimer}. Invariant: the held
 * bytes never exceed the limit. Confined to the thread of its event loop.
 *
 * <pre>
 * if (budget.reserve(length, () -&gt; urgencyOf(head))) {
 *     // receive and run the request
 *     budget.release(length);
 * }
 * </pre>
 */
public final class RequestBodyBudget {

	/**
	 * Copies of a body that are held at one time: while it is received, a buffer of up to
	 * twice its size, or the buffer and a larger one; then the body and the encoded
	 * request to the endpoint.
	 */
	static final int HELD_COPIES = 2;

	/** Part of the heap that bodies may take, as its divisor. */
	private static final int HEAP_DIVISOR = 4;

	private final long limitBytes;

	private long heldBytes;

	private long refusedBodies;

	private Reclaimer reclaimer = (urgency) -> false;

	/**
	 * Creates a budget of which nothing is held.
	 * @param limitBytes most bytes that are held
	 */
	public RequestBodyBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Creates a budget for a process.
	 * @param heapBytes largest size of its heap in bytes
	 * @return the budget
	 */
	public static RequestBodyBudget ofHeap(long heapBytes) {
		return new RequestBodyBudget(heapBytes / HEAP_DIVISOR);
	}

	/**
	 * Reserves memory for a body or a part of it.
	 * @param bodyBytes length in bytes
	 * @param urgency supplies the urgency of the request, from 0 to
	 * {@link Tier#HIGHEST_URGENCY}; called only if it matters
	 * @return false if the request must be refused
	 */
	public boolean reserve(long bodyBytes, IntSupplier urgency) {
		boolean reserved = tryReserve(bodyBytes, urgency);
		if (!reserved) {
			this.refusedBodies++;
		}
		return reserved;
	}

	/**
	 * Reserves memory like {@link #reserve}, but does not count a refusal, since the body
	 * may wait for room.
	 * @param bodyBytes length in bytes
	 * @param urgency supplies the urgency of the request; called only if it matters
	 * @return false if there is no room now
	 */
	boolean tryReserve(long bodyBytes, IntSupplier urgency) {
		long addedBytes = bodyBytes * HELD_COPIES;
		if (this.heldBytes + addedBytes > this.limitBytes / 2
				&& !makeRoom(addedBytes, limitFor(urgency.getAsInt()), urgency)) {
			return false;
		}
		this.heldBytes += addedBytes;
		return true;
	}

	/**
	 * Returns whether a body that found no room may find some later, so that it is better
	 * to wait than to refuse it.
	 * @param wholeBytes length of the whole body in bytes
	 * @param urgency urgency of its request
	 * @return false if there is nothing to wait for
	 */
	boolean roomExpected(long wholeBytes, int urgency) {
		return canHold(wholeBytes, urgency) && this.reclaimer.reclaimsLater(urgency);
	}

	private boolean makeRoom(long addedBytes, long limit, IntSupplier urgency) {
		boolean more = addedBytes <= limit;
		while (this.heldBytes + addedBytes > limit && more) {
			more = this.reclaimer.reclaim(urgency.getAsInt());
		}
		return this.heldBytes + addedBytes <= limit;
	}

	/**
	 * Sets what is asked before a body is refused.
	 * @param newReclaimer releases the bodies of less urgent requests
	 */
	public void reclaimer(Reclaimer newReclaimer) {
		this.reclaimer = newReclaimer;
	}

	/**
	 * Returns whether a body can ever be reserved, that is, while nothing else is.
	 * @param bodyBytes length in bytes
	 * @param urgency the highest urgency that the request may have
	 * @return false if it exceeds the part of the limit that is open to the urgency
	 */
	public boolean canHold(long bodyBytes, int urgency) {
		return bodyBytes <= limitFor(urgency) / HELD_COPIES;
	}

	private long limitFor(int urgency) {
		return this.limitBytes / 2 + this.limitBytes / 2 * urgency / Tier.HIGHEST_URGENCY;
	}

	/**
	 * Releases memory.
	 * @param bodyBytes length that was reserved, in bytes
	 */
	public void release(long bodyBytes) {
		this.heldBytes -= bodyBytes * HELD_COPIES;
	}

	/**
	 * Returns the held bytes, all copies included.
	 * @return number of bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the most bytes that are held.
	 * @return number of bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Returns how many bodies were refused.
	 * @return number of bodies since the start
	 */
	public long refusedBodies() {
		return this.refusedBodies;
	}

	/**
	 * Releases the bodies of less urgent requests.
	 */
	@FunctionalInterface
	public interface Reclaimer {

		/**
		 * Ends a request that is less urgent and releases its body.
		 * @param urgency urgency of the request that needs memory
		 * @return false if none can be ended now
		 */
		boolean reclaim(int urgency);

		/**
		 * Returns whether a request that cannot be ended now can be ended soon.
		 * @param urgency urgency of the request that needs memory
		 * @return true if it is worth waiting
		 */
		default boolean reclaimsLater(int urgency) {
			return false;
		}

	}

}
