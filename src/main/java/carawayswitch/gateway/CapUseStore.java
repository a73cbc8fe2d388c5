package carawayswitch.gateway;

import java.util.Optional;

import io.activej.promise.Promise;

/**
 * Store of the latest record of the use of caps. Confined to the thread of its event
 * loop.
 */
public interface CapUseStore {

	/**
	 * Replaces the record.
	 * @param use the record
	 * @return completes when it is stored; after a failure it may or may not be stored
	 */
	Promise<Void> publishCapUse(CapUse use);

	/**
	 * Reads the record.
	 * @return the record, empty if there is none that can be read; fails if the store
	 * could not be read
	 */
	Promise<Optional<CapUse>> readCapUse();

}
