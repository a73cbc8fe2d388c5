package carawayswitch.entry;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Receives the answer to a request across all its attempts. Confined to the thread of the
 * request. {@link #end} is called exactly once, after all other calls.
 */
interface AnswerSink {

	/**
	 * Starts the answer. A retry of the request starts it again.
	 * @param status status code of the HTTP response of the endpoint
	 * @param contentType content type of the answer
	 * @param endpoint id of the endpoint, or empty if it is not known
	 */
	void head(int status, String contentType, String endpoint);

	/**
	 * Adds a chunk of the body.
	 * @param chunk bytes of the chunk
	 */
	void body(byte[] chunk);

	/**
	 * Ends the request.
	 * @param outcome outcome of the request
	 * @param error kind of the error, or null if the request was answered
	 * @param detail human-readable details of the error, or empty
	 * @param retryAfterMillis advised delay before a retry in milliseconds, or 0
	 */
	void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis);

}
