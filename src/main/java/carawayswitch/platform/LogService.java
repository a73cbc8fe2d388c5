package carawayswitch.platform;

import java.util.List;

import io.activej.promise.Promise;

import carawayswitch.message.LogRecord;

/**
 * The platform's append-only log. A failed append may have taken effect. Confined to the
 * thread of its event loop.
 */
public interface LogService {

	/** Stream of the configuration. */
	String CONFIGURATION_STREAM = "configuration";

	/** Stream of the audit trail. */
	String AUDIT_STREAM = "audit";

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param payload the record
	 * @return the offset; fails if the log did not confirm it
	 */
	Promise<Long> append(String stream, byte[] payload);

	/**
	 * Reads records.
	 * @param stream name of the stream
	 * @param fromOffset first offset that is wanted
	 * @param limit most records
	 * @return the records
	 */
	Promise<Page> read(String stream, long fromOffset, int limit);

	/**
	 * Records that were read. Immutable.
	 *
	 * @param firstOffset offset of the oldest record that the log keeps
	 * @param nextOffset offset that the next record will have
	 * @param records records in the order of the log
	 */
	record Page(long firstOffset, long nextOffset, List<LogRecord> records) {

	}

}
