package carawayswitch.endpoint;

/**
 * Carries calls to one endpoint. Confined to the thread of the endpoint's event loop.
 */
public interface EndpointAdapter {

	/**
	 * Sends a call.
	 * @param call the call
	 * @param listener receives the answer
	 */
	void send(EndpointCall call, AnswerListener listener);

	/**
	 * Stops a call at the endpoint, if the endpoint can. Its answer breaks off.
	 * @param attemptId id of the attempt
	 */
	void cancel(String attemptId);

	/**
	 * Continues an answer that broke off.
	 * @param attemptId id of the attempt
	 * @param receivedTokens number of tokens received before
	 * @param listener receives the rest of the answer
	 */
	void resume(String attemptId, int receivedTokens, AnswerListener listener);

	/**
	 * Returns whether broken answers can be continued.
	 * @return true if {@link #resume} is supported
	 */
	boolean resumable();

}
