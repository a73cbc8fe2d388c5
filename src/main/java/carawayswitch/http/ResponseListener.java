package carawayswitch.http;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. Called on the thread of the connection. Exactly
 * one of {@link #onComplete()}, {@link #onFailure} and {@link #onNotSent} is the last
 * call, unless the exchange is cancelled, after which nothing is called.
 */
public interface ResponseListener {

	/**
	 * Handles a new connection, before the request is written. May cancel the request, of
	 * which no byte is sent then.
	 */
	default void onConnected() {
	}

	/**
	 * Returns whether a response belongs to the request. Other responses are skipped.
	 * @param response head of the response
	 * @return true if it belongs to the request
	 */
	default boolean accepts(HttpResponse response) {
		return true;
	}

	/**
	 * Returns whether the connection may carry another request after this response. It
	 * must not if a surplus response could not be told from the response to that request.
	 * @param response head of a response that belongs to the request
	 * @return true if the connection may be reused
	 */
	default boolean allowsReuse(HttpResponse response) {
		return true;
	}

	/**
	 * Handles the status line and the headers of the response.
	 * @param response head of the response
	 */
	void onHead(HttpResponse response);

	/**
	 * Handles a part of the body. Data of a chunk waits for the end of the chunk.
	 * @param bytes the part, without transfer encoding
	 */
	void onBody(byte[] bytes);

	/**
	 * Handles the arrival of data that waits for the end of its chunk.
	 */
	default void onPartialChunk() {
	}

	/**
	 * Handles the end of a complete response.
	 */
	void onComplete();

	/**
	 * Handles a response that failed or is incomplete. The server may have processed the
	 * request.
	 * @param reason description of the failure
	 */
	void onFailure(String reason);

	/**
	 * Handles a request of which no byte was sent.
	 * @param reason description of the failure
	 */
	void onNotSent(String reason);

}
