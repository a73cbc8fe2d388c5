package carawayswitch.route;

import java.net.InetSocketAddress;

/**
 * Registration of an endpoint, as the endpoint wrote it. Immutable.
 *
 * @param id id of the endpoint
 * @param service name of its service
 * @param version version of its software; versions have no order
 * @param address address that accepts its requests
 * @param zone its availability zone
 * @param slots number of requests that it runs concurrently
 * @param leaving true if it is draining and accepts no new requests
 * @param startedAt time of its start in milliseconds since the epoch, or 0 if unknown
 */
public record EndpointEntry(String id, String service, String version, InetSocketAddress address, String zone,
		int slots, boolean leaving, long startedAt) {

	/**
	 * Returns the id of the endpoint and of its start; an endpoint may restart under its
	 * id.
	 * @return id that differs between the starts of the endpoint
	 */
	public String start() {
		return this.id + '@' + this.startedAt;
	}

	/**
	 * Returns whether this is the entry of an earlier start of the endpoint.
	 * @param other another entry of the same endpoint
	 * @return true if both starts are known and this one is earlier
	 */
	public boolean startedBefore(EndpointEntry other) {
		return this.startedAt > 0 && this.startedAt < other.startedAt;
	}

}
