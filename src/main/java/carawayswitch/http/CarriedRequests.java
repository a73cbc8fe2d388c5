package carawayswitch.http;

import java.util.Arrays;

/**
 * Ids of the requests that a connection has carried most recently. Keeps hash codes, so
 * that an id which was not carried may be reported as carried, but not the other way
 * round. Invariant: holds the latest {@link #CAPACITY} ids. Not thread-safe.
 */
final class CarriedRequests {

	/**
	 * Number of ids that are kept. A surplus response comes where the next one is
	 * expected, so that far older ids cannot be named by it any more.
	 */
	static final int CAPACITY = 256;

	private static final int INITIAL_CAPACITY = 8;

	private int[] hashCodes = new int[INITIAL_CAPACITY];

	private int count;

	private int next;

	void add(String id) {
		if (this.next == this.hashCodes.length && this.next < CAPACITY) {
			this.hashCodes = Arrays.copyOf(this.hashCodes, 2 * this.next);
		}
		this.next %= this.hashCodes.length;
		this.hashCodes[this.next++] = id.hashCode();
		this.count = Math.max(this.count, this.next);
	}

	boolean contains(String id) {
		int hashCode = id.hashCode();
		for (int i = 0; i < this.count; i++) {
			if (this.hashCodes[i] == hashCode) {
				return true;
			}
		}
		return false;
	}

}
