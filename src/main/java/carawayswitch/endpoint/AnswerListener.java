package carawayswitch.endpoint;

/**
 * Receives the answer to one call. After {@link #onComplete}, {@link #onInterrupted} or
 * {@link #onNeverSent} nothing follows. Called on the thread of the endpoint's event
 * loop.
 */
public interface AnswerListener {

	/**
	 * The answer begins.
	 * @param status status code of HTTP
	 * @param contentType content type
	 */
	void onHead(int status, String contentType);

	/**
	 * A piece of the answer.
	 * @param chunk the piece
	 * @param tokens number of generated tokens in the piece
	 */
	void onBody(byte[] chunk, int tokens);

	/**
	 * The answer is complete.
	 */
	void onComplete();

	/**
	 * The answer broke off or never came, after the call may have been sent.
	 * @param reason what happened
	 */
	void onInterrupted(String reason);

	/**
	 * No byte of the call was sent.
	 * @param reason what happened
	 */
	void onNeverSent(String reason);

}
