package carawayswitch.http;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. Called on the thread of the connection. Exactly
 * one of {@link #onComplete()}, {@link #onFailure} and {@link #onNotSent} is the last
 * call, unless the exchange is cancelled, after which nothing is called.
 */
public interface ResponseListener {

	/**
	 * Decides whether a response belongs to the request. One that does not is skipped.
	 * @param response head of the response
	 * @return true if it belongs to the request
	 */
	default boolean accepts(HttpResponse response) {
		return true;
	}

	/**
	 * Handles the head.
	 * @param response the head
	 */
	void onHead(HttpResponse response);

	/**
	 * Handles a piece of the body.
	 * @param bytes the piece
	 */
	void onBody(byte[] bytes);

	/**
	 * Handles the end of a complete response.
	 */
	void onComplete();

	/**
	 * Handles the loss of the response. The server may have handled the request.
	 * @param reason what happened
	 */
	void onFailure(String reason);

	/**
	 * Handles that no byte of the request was sent.
	 * @param reason what happened
	 */
	void onNotSent(String reason);

}
