package carawayswitch.http;

/**
 * Size and time limits on requests of a client. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request line and maximum total size of the
 * headers, in bytes
 * @param maxBodyBytes maximum size of the body in bytes
 * @param headerTimeoutMillis longest time between two reads of an incomplete request in
 * milliseconds
 * @param idleTimeoutMillis longest time without a request in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/**
	 * Limits that apply until the configuration is available; those of common web
	 * servers.
	 */
	public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);

}
