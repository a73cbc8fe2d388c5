package carawayswitch.platform;

import java.util.List;

import io.activej.promise.Promise;

import carawayswitch.message.LogRecord;

/**
 * The platform's append-only log, which consists of named streams. A failed append may
 * have taken effect. Confined to the thread of its event loop.
 */
public interface LogService {

	/** Name of the stream with the configuration changes. */
	String CONFIGURATION_STREAM = "configuration";

	/** Name of the stream with the audit trail. */
	String AUDIT_STREAM = "audit";

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param payload the encoded record
	 * @return the offset of the record; fails if the log did not confirm it
	 */
	Promise<Long> append(String stream, byte[] payload);

	/**
	 * Reads records.
	 * @param stream name of the stream
	 * @param fromOffset offset of the first record to read
	 * @param limit maximum number of records
	 * @return the records; fails if they could not be read
	 */
	Promise<Page> read(String stream, long fromOffset, int limit);

	/**
	 * Result of a read. Immutable.
	 *
	 * @param firstOffset offset of the oldest record that the log keeps
	 * @param nextOffset offset that the next appended record will have
	 * @param records records in the order of the log
	 */
	record Page(long firstOffset, long nextOffset, List<LogRecord> records) {

	}

}
