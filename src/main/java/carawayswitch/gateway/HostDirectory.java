package carawayswitch.gateway;

import io.activej.promise.Promise;

/**
 * Directory of gateway hosts, kept by the platform. Confined to the thread of its event
 * loop.
 */
public interface HostDirectory {

	/**
	 * Publishes the record of this host.
	 * @param record the record
	 * @return completes when it is stored; a failure leaves open whether it was
	 */
	Promise<Void> publish(HostRecord record);

	/**
	 * Removes the record of a host.
	 * @param host id of the host
	 * @return completes when it is removed; a failure leaves open whether it was
	 */
	Promise<Void> remove(String host);

	/**
	 * Returns the records of all hosts.
	 * @return the source
	 */
	RecordSource<HostRecord> records();

}
