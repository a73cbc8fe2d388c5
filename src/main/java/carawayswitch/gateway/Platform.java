package carawayswitch.gateway;

import carawayswitch.route.EndpointEntry;
import carawayswitch.route.RouteTable;

/**
 * Adapter to the platform that stores the configuration, the endpoints, the directory of
 * gateway hosts, their quarantine rules, the origins of streams, the rollouts and the use
 * of caps. Confined to the thread of its event loop.
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

	/**
	 * Returns the quarantine rules of all hosts.
	 * @return the store of the rules
	 */
	QuarantineStore quarantine();

	/**
	 * Returns what is stored about the origins of streams.
	 * @return the store of the origins
	 */
	StreamOriginStore streamOrigins();

	/**
	 * Returns what is stored about rollouts.
	 * @return the store of the rollouts
	 */
	RolloutStore rollouts();

	/**
	 * Returns the store of the use of caps.
	 * @return the store of the record
	 */
	CapUseStore capUse();

}
