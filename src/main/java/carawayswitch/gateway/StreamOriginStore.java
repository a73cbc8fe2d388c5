package carawayswitch.gateway;

import java.util.List;

import io.activej.promise.Promise;

import carawayswitch.route.OriginEntry;

/**
 * What the platform stores so that it is known after the loss of all hosts what has begun
 * a stream. Confined to the thread of its event loop.
 */
public interface StreamOriginStore {

	/**
	 * Stores and removes entries of the origin table, all or none.
	 * @param puts entries to store
	 * @param removals entries to remove
	 * @param expectedOffset offset at which the table must end, so that a host does not
	 * change entries that it has not read; a negative number for any
	 * @return completes when the changes are stored; after a failure they may or may not
	 * be stored
	 */
	Promise<Void> publishOrigins(List<OriginEntry> puts, List<OriginEntry> removals, long expectedOffset);

	/**
	 * Returns the entries of the origin table.
	 * @return the source
	 */
	RecordSource<OriginEntry> origins();

	/**
	 * Stores a batch of streams and removes others, all or none.
	 * @param batch the batch
	 * @param expired names of the batches to remove
	 * @return completes when the batch is stored; after a failure it may or may not be
	 * stored
	 */
	Promise<Void> publishStreams(StreamBatch batch, List<String> expired);

	/**
	 * Returns the batches of streams, keyed by their names.
	 * @return the source
	 */
	RecordSource<StreamBatch> streams();

}
