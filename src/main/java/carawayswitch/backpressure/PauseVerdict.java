package carawayswitch.backpressure;

/**
 * What is done with a response of an endpoint that is not read because its client is
 * slow. Immutable.
 */
public enum PauseVerdict {

	/** The client has caught up: read the response until the client is behind again. */
	RESUME,

	/** Do not read yet. */
	WAIT,

	/**
	 * Read the rest without further pauses, within {@link ResponseBufferBudget}, since
	 * the endpoint cuts off a response that stays unread.
	 */
	READ_ON;

	/**
	 * Bytes waiting to be written to a client above which reading from the endpoint
	 * pauses.
	 */
	public static final long MAX_UNWRITTEN_BYTES = 256 * 1024;

	/**
	 * Longest pause in milliseconds. Endpoints cut off responses that stay unread for
	 * some seconds; this leaves room for an event loop that is late by a second.
	 */
	public static final long MAX_PAUSE_MILLIS = 800;

	/**
	 * Decides on a paused response.
	 * @param unwrittenBytes bytes waiting to be written to its client
	 * @param pausedAt time in milliseconds at which the pause began
	 * @param limited true if the pause is limited
	 * @param now time in milliseconds
	 * @return the verdict
	 */
	public static PauseVerdict of(long unwrittenBytes, long pausedAt, boolean limited, long now) {
		if (unwrittenBytes < MAX_UNWRITTEN_BYTES / 2) {
			return RESUME;
		}
		return (limited && now - pausedAt >= MAX_PAUSE_MILLIS) ? READ_ON : WAIT;
	}

}
