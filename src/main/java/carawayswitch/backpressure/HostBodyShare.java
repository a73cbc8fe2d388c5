package carawayswitch.backpressure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.config.Tier;

/**
 * One host's equal part of the bound on the bytes of request bodies that an endpoint of a
 * plain service holds. Hosts do not coordinate: if each keeps to its part, the bound
 * holds, except that each host may have one request at an endpoint however large it is.
 * While a more urgent request waits for room, less urgent ones of its service wait too. A
 * body larger than the part needs an endpoint without bodies of this host; while it
 * waits, less urgent ones are kept from the endpoint that holds the least, and use the
 * others. Not safe for use by several threads.
 *
 * @param <A> type of the attempts, which are compared by {@code equals}
 */
public final class HostBodyShare<A> {

	private final EndpointBodies<A> held = new EndpointBodies<>();

	/**
	 * Number of requests that wait for room, except those of {@link #largeWaiting}, by
	 * service and urgency.
	 */
	private final Map<String, int[]> waiting = new HashMap<>();

	/**
	 * Number of requests larger than the part that wait for an endpoint without bodies.
	 */
	private final Map<String, int[]> largeWaiting = new HashMap<>();

	private final long boundBytes;

	/**
	 * Creates a share of which nothing is used.
	 * @param boundBytes most bytes that an endpoint holds over all hosts
	 */
	public HostBodyShare(long boundBytes) {
		this.boundBytes = boundBytes;
	}

	/**
	 * Returns whether this host may send a body to an endpoint.
	 * @param endpoint id of the endpoint
	 * @param bytes length of the body in bytes
	 * @param hosts number of hosts that share the bound
	 * @return false if this host's part of the bound would be exceeded
	 */
	public boolean hasRoom(String endpoint, long bytes, int hosts) {
		return this.held.hasRoom(endpoint, bytes, part(hosts));
	}

	private long part(int hosts) {
		return this.boundBytes / Math.max(1, hosts);
	}

	/**
	 * Returns whether a body is larger than this host's part of the bound.
	 * @param bytes length of the body in bytes
	 * @param hosts number of hosts that share the bound
	 * @return true if it is sent only to an endpoint without bodies of this host
	 */
	public boolean exceedsPart(long bytes, int hosts) {
		return bytes > part(hosts);
	}

	/**
	 * Returns the endpoints to which a request may be sent now.
	 * @param endpoints ids of the endpoints that may run it
	 * @param service name of their service
	 * @param urgency urgency of the request
	 * @param bytes length of its body in bytes
	 * @param hosts number of hosts that share the bound
	 * @return those with room, without the one that is kept for a more urgent large body
	 */
	public List<String> open(List<String> endpoints, String service, int urgency, long bytes, int hosts) {
		String kept = (bytes > 0 && moreUrgentIn(this.largeWaiting, service, urgency)) ? endpoints.stream()
			.min(Comparator.comparingLong(this::heldBytes).thenComparing(Comparator.naturalOrder()))
			.orElse("") : "";
		return endpoints.stream()
			.filter((endpoint) -> !endpoint.equals(kept) && hasRoom(endpoint, bytes, hosts))
			.toList();
	}

	/**
	 * Returns whether a more urgent request waits for room, other than one that exceeds
	 * the part.
	 * @param service name of the service
	 * @param urgency urgency of the request that asks
	 * @return true if the request must wait behind it
	 */
	public boolean moreUrgentWaits(String service, int urgency) {
		return moreUrgentIn(this.waiting, service, urgency);
	}

	private static boolean moreUrgentIn(Map<String, int[]> countsByService, String service, int urgency) {
		int[] counts = countsByService.get(service);
		for (int higher = urgency + 1; counts != null && higher < counts.length; higher++) {
			if (counts[higher] > 0) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Records that a request begins to wait for room.
	 * @param service name of the service
	 * @param urgency urgency of the request
	 * @param large whether its body exceeds the part
	 */
	public void onWaitBegun(String service, int urgency, boolean large) {
		counts(large).computeIfAbsent(service, (name) -> new int[Tier.URGENCY_COUNT])[urgency]++;
	}

	private Map<String, int[]> counts(boolean large) {
		return large ? this.largeWaiting : this.waiting;
	}

	/**
	 * Records that a request no longer waits.
	 * @param service name of the service
	 * @param urgency urgency of the request
	 * @param large as it was when the wait began
	 */
	public void onWaitEnded(String service, int urgency, boolean large) {
		counts(large).get(service)[urgency]--;
	}

	/**
	 * Records that a body is sent.
	 * @param attempt the attempt
	 * @param endpoint id of the endpoint
	 * @param bytes length of the body in bytes
	 */
	public void onSent(A attempt, String endpoint, long bytes) {
		this.held.onSent(attempt, endpoint, bytes);
	}

	/**
	 * Records that an attempt has ended.
	 * @param attempt the attempt
	 */
	public void onEnded(A attempt) {
		this.held.onEnded(attempt);
	}

	/**
	 * Returns the bytes that an endpoint holds for this host.
	 * @param endpoint id of the endpoint
	 * @return number of bytes
	 */
	public long heldBytes(String endpoint) {
		return this.held.heldBytes(endpoint);
	}

}
