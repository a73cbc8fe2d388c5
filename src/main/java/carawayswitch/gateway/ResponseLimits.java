package carawayswitch.gateway;

/**
 * Limits of what a host buffers and forwards of the responses of endpoints, so that an
 * endpoint that sends without end cannot exhaust the memory of the host. The budget for
 * plain bodies is shared by all attempts of the host. Invariant: the reserved bytes are
 * never more than {@link #MAX_BUFFERED_BYTES}. Confined to the event loop thread.
 *
 * <pre>
 * if (!limits.reserve(bodyLength, bytes.length)) {
 *     // give up the attempt
 * }
 * limits.release(bytes.length);
 * </pre>
 */
final class ResponseLimits {

	/** Largest plain body in bytes. */
	static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	/**
	 * Largest sum of the plain bodies that a host buffers at one time, in bytes; a
	 * fraction of the smallest heap that hosts are run with.
	 */
	static final int MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

	/** Largest event of a stream in bytes. */
	static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Events without output tokens that a stream may have, such as comments. */
	static final int EXTRA_EVENTS = 64;

	private int bufferedBytes;

	/**
	 * Reserves memory for a part of a body.
	 * @param bodyBytes length of the body with this part, in bytes
	 * @param partBytes length of the part in bytes
	 * @return false if the body or all bodies together would exceed their limit
	 */
	boolean reserve(long bodyBytes, int partBytes) {
		if (bodyBytes > MAX_BODY_BYTES || this.bufferedBytes + partBytes > MAX_BUFFERED_BYTES) {
			return false;
		}
		this.bufferedBytes += partBytes;
		return true;
	}

	/**
	 * Releases memory.
	 * @param bytes number of bytes that were reserved
	 */
	void release(int bytes) {
		this.bufferedBytes -= bytes;
	}

	int bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Returns the most events that a stream may have. An event holds at least one token.
	 * @param maxOutputTokens largest number of output tokens of the request, or 0 if the
	 * client did not state it
	 * @return number of events
	 */
	static long maxEvents(int maxOutputTokens) {
		return (maxOutputTokens > 0) ? (long) maxOutputTokens + EXTRA_EVENTS : Long.MAX_VALUE;
	}

}
