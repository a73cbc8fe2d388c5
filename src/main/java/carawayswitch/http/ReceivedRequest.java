package carawayswitch.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP request received from a client. Immutable by convention.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param headers headers in the order in which they were received
 * @param body body without transfer encoding
 * @param keepAlive true if the client may send another request on the connection
 * @param arrivedAt monotonic time in milliseconds at which the last byte was read, less
 * the time for which this host kept the body from being read
 */
public record ReceivedRequest(String method, String target, HttpHeaders headers, byte[] body, boolean keepAlive,
		long arrivedAt) {

	/**
	 * Returns the path without its query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
