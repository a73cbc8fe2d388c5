package carawayswitch.route;

import java.net.InetSocketAddress;

/**
 * What an endpoint has said of itself. Immutable.
 *
 * @param id id of the endpoint
 * @param service name of its service
 * @param address its address
 * @param zone its availability zone
 * @param slots requests that it works on at once
 * @param leaving true if it accepts no new work
 * @param startedAt time of its start in milliseconds since the epoch, or 0
 */
public record EndpointEntry(String id, String service, InetSocketAddress address, String zone, int slots,
		boolean leaving, long startedAt) {

}
