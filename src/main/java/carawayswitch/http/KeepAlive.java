package carawayswitch.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Time for which an idle connection may be reused. A server may state it in the
 * {@code Keep-Alive} header of a response. Times are monotonic milliseconds. Not
 * thread-safe.
 */
final class KeepAlive {

	/**
	 * Idle time in milliseconds after which a connection is not reused if the server
	 * states no idle timeout; shorter than the idle timeout of common servers.
	 */
	private static final long DEFAULT_MILLIS = 5000;

	/**
	 * Subtracted from the idle timeout that a server states, in milliseconds, to allow
	 * for the time that a request takes to reach the server.
	 */
	private static final long MARGIN_MILLIS = 1000;

	private static final long MILLIS_PER_SECOND = 1000;

	private long idleSince;

	private long limitMillis = DEFAULT_MILLIS;

	/**
	 * Reads the idle timeout that a response states, if it does.
	 * @param headers headers of the response
	 */
	void onHead(HttpHeaders headers) {
		String header = headers.get(HttpHeaderNames.KEEP_ALIVE);
		if (header != null) {
			this.limitMillis = millis(header);
		}
	}

	private static long millis(String header) {
		for (String part : header.split(",")) {
			String[] pair = part.trim().split("=", 2);
			if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
				return Math.max(0, Long.parseLong(pair[1]) * MILLIS_PER_SECOND - MARGIN_MILLIS);
			}
		}
		return DEFAULT_MILLIS;
	}

	void onIdle(long now) {
		this.idleSince = now;
	}

	/**
	 * Returns whether the connection may still be reused.
	 * @param now current time
	 * @param maxIdleMillis longest idle time in milliseconds
	 * @return true if neither this nor the idle timeout of the server has elapsed
	 */
	boolean lasts(long now, long maxIdleMillis) {
		return now - this.idleSince < Math.min(maxIdleMillis, this.limitMillis);
	}

}
