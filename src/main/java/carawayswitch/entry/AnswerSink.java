package carawayswitch.entry;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;

/**
 * Receives the answer to a request, over all its attempts. Confined to the thread of the
 * request. {@link #end} is called once and last.
 */
interface AnswerSink {

	/**
	 * The answer begins.
	 * @param status status code of HTTP of the endpoint
	 * @param contentType content type of the answer
	 * @param endpoint id of the endpoint
	 */
	void head(int status, String contentType, String endpoint);

	/**
	 * A piece of the answer.
	 * @param chunk the piece
	 */
	void body(byte[] chunk);

	/**
	 * The request has ended.
	 * @param outcome how it ended
	 * @param error kind of the error, or null if the request was answered
	 * @param detail details of the error for people, or empty
	 * @param retryAfterMillis advised delay of a retry in milliseconds, or 0
	 */
	void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis);

}
