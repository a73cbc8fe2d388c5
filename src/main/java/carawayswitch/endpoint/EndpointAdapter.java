package carawayswitch.endpoint;

/**
 * Client of one endpoint. Confined to the thread of the endpoint's event loop.
 */
public interface EndpointAdapter {

	/**
	 * Sends a call.
	 * @param call the call
	 * @param listener receives the answer
	 */
	void send(EndpointCall call, AnswerListener listener);

	/**
	 * Cancels a call at the endpoint. Does nothing if the endpoint does not support
	 * cancellation; otherwise the answer of the call is cut off.
	 * @param attemptId id of the attempt to cancel
	 */
	void cancel(String attemptId);

	/**
	 * Resumes an answer that was cut off. If the endpoint does not support this, the
	 * listener gets {@link AnswerListener#onInterrupted}.
	 * @param attemptId id of the attempt
	 * @param receivedTokens number of tokens received before the interruption
	 * @param listener receives the remainder of the answer
	 */
	void resume(String attemptId, int receivedTokens, AnswerListener listener);

	/**
	 * Returns whether the endpoint can resume answers that were cut off.
	 * @return true if {@link #resume} is supported
	 */
	boolean resumable();

}
