package carawayswitch.endpoint;

/**
 * Receives the answer to one call. {@link #onComplete}, {@link #onInterrupted} and
 * {@link #onNeverSent} are terminal: no callback follows them. Called on the thread of
 * the endpoint's event loop.
 */
public interface AnswerListener {

	/**
	 * Called when the response headers have arrived.
	 * @param status status code of the HTTP response
	 * @param contentType content type of the answer, or empty
	 */
	void onHead(int status, String contentType);

	/**
	 * Called for each chunk of the body.
	 * @param chunk bytes of the chunk
	 * @param tokens number of generated tokens in the chunk; 0 if the answer is not an
	 * event stream
	 */
	void onBody(byte[] chunk, int tokens);

	/**
	 * Called when the answer is complete.
	 */
	void onComplete();

	/**
	 * Called when the answer was cut off or never arrived. The call may have been sent,
	 * so the endpoint may have run it.
	 * @param reason description of the failure
	 */
	void onInterrupted(String reason);

	/**
	 * Called when the call failed before any byte of it was sent.
	 * @param reason description of the failure
	 */
	void onNeverSent(String reason);

}
