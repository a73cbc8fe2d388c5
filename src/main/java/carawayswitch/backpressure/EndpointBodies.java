package carawayswitch.backpressure;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of request bodies that endpoints hold: sent to them and not answered. Invariant:
 * the bytes of an endpoint are the sum of its bodies; an endpoint without bodies has no
 * entry. Not safe for use by several threads.
 *
 * @param <R> type of the requests, which are compared by {@code equals}
 */
public final class EndpointBodies<R> {

	private final Map<R, HeldBody> bodies = new HashMap<>();

	private final Map<String, Long> heldBytes = new HashMap<>();

	/**
	 * Returns whether an endpoint may be sent another body. One that holds none may be
	 * sent any, so that a body larger than the bound is served too.
	 * @param endpoint id of the endpoint
	 * @param bytes length of the body in bytes
	 * @param boundBytes most bytes that the endpoint may hold
	 * @return false if the bound would be exceeded
	 */
	public boolean hasRoom(String endpoint, long bytes, long boundBytes) {
		long held = heldBytes(endpoint);
		return bytes == 0 || held == 0 || held + bytes <= boundBytes;
	}

	/**
	 * Records that a body is sent. Ignored for a request that is already held.
	 * @param request the request
	 * @param endpoint id of the endpoint
	 * @param bytes length of the body in bytes
	 */
	public void onSent(R request, String endpoint, long bytes) {
		if (bytes > 0 && this.bodies.putIfAbsent(request, new HeldBody(endpoint, bytes)) == null) {
			this.heldBytes.merge(endpoint, bytes, Long::sum);
		}
	}

	/**
	 * Records that a request has ended. Ignored if its body is not held.
	 * @param request the request
	 * @return true if its body was held
	 */
	public boolean onEnded(R request) {
		HeldBody body = this.bodies.remove(request);
		if (body != null) {
			this.heldBytes.computeIfPresent(body.endpoint(),
					(endpoint, held) -> (held > body.bytes()) ? held - body.bytes() : null);
		}
		return body != null;
	}

	/**
	 * Returns the bytes that an endpoint holds.
	 * @param endpoint id of the endpoint
	 * @return number of bytes
	 */
	public long heldBytes(String endpoint) {
		return this.heldBytes.getOrDefault(endpoint, 0L);
	}

	/** Forgets all bodies. */
	public void clear() {
		this.bodies.clear();
		this.heldBytes.clear();
	}

	/**
	 * Body that an endpoint holds. Immutable.
	 *
	 * @param endpoint id of the endpoint
	 * @param bytes length in bytes
	 */
	private record HeldBody(String endpoint, long bytes) {

	}

}
