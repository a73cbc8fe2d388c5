package carawayswitch.gateway;

import carawayswitch.route.EndpointEntry;
import carawayswitch.route.RouteTable;

/**
 * What a gateway host needs of a platform. Confined to the thread of its event loop.
 */
public interface Platform {

	/**
	 * Returns the versions of the configuration.
	 * @return the source
	 */
	RecordSource<RouteTable> configurations();

	/**
	 * Returns the entries of the endpoints by id.
	 * @return the source
	 */
	RecordSource<EndpointEntry> endpoints();

	/**
	 * Returns the directory of gateway hosts.
	 * @return the directory
	 */
	HostDirectory directory();

}
