package carawayswitch.http;

/**
 * Limits on what a client may send. Immutable.
 *
 * @param maxHeaderBytes largest request line and largest sum of headers in bytes
 * @param maxBodyBytes largest body in bytes
 * @param headerTimeoutMillis longest time between two pieces of an unfinished request in
 * milliseconds
 * @param idleTimeoutMillis longest time without a request in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that hold until a configuration is known; those of common web servers. */
	public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);

}
