package carawayswitch.gateway;

import io.activej.promise.Promise;

/**
 * Directory of the gateway hosts of a cluster, stored by the platform. Confined to the
 * thread of its event loop.
 */
public interface HostDirectory {

	/**
	 * Publishes the record of this host.
	 * @param record the record
	 * @return completes when the record is stored; after a failure it may or may not be
	 * stored
	 */
	Promise<Void> publish(HostRecord record);

	/**
	 * Removes the record of a host.
	 * @param host id of the host
	 * @return completes when the record is removed; after a failure it may or may not be
	 * removed
	 */
	Promise<Void> remove(String host);

	/**
	 * Returns the records of all hosts.
	 * @return the source
	 */
	RecordSource<HostRecord> records();

}
