package carawayswitch.route;

/**
 * Whether it must be recorded what has begun a stream, and by when. Immutable.
 */
public enum Recording {

	/** The origin table tells it. */
	NONE,

	/** The origin table tells it for now only. */
	LATER,

	/** Without the record it is not known after a loss of the host. */
	BEFORE_FIRST_EVENT_IF_IN_TIME,

	/** Without the record the table would tell something else. */
	BEFORE_FIRST_EVENT;

	/**
	 * Returns whether the first event is held until the stream is recorded.
	 * @return true if it is held, if only for some time
	 */
	public boolean holdsFirstEvent() {
		return compareTo(BEFORE_FIRST_EVENT_IF_IN_TIME) >= 0;
	}

}
