package carawayswitch.gateway;

import carawayswitch.route.EndpointEntry;
import carawayswitch.route.RouteTable;

/**
 * Adapter to the platform that stores the configuration, the endpoints and the directory
 * of gateway hosts. Confined to the thread of its event loop.
 */
public interface Platform {

	/**
	 * Returns the source of configuration versions.
	 * @return the source
	 */
	RecordSource<RouteTable> configurations();

	/**
	 * Returns the source of endpoint entries, keyed by endpoint id.
	 * @return the source
	 */
	RecordSource<EndpointEntry> endpoints();

	/**
	 * Returns the directory of gateway hosts.
	 * @return the directory
	 */
	HostDirectory directory();

}
