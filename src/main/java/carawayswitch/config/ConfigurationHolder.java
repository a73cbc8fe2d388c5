package carawayswitch.config;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.collection.Vector;

import carawayswitch.message.ConfigurationSnapshot;
import carawayswitch.message.LogRecord;

/**
 * Holds the newest configuration and publishes it to all threads. Invariant: the offset
 * never decreases. Reads are lock-free; writes are serialised.
 */
public final class ConfigurationHolder {

	private static final int MAX_RECENT_RECORDS = 1000;

	private final AtomicReference<ConfigurationState> state = new AtomicReference<>(ConfigurationState.EMPTY);

	private Vector<LogRecord> recentRecords = Vector.empty();

	/**
	 * Returns the newest state.
	 * @return the state
	 */
	public ConfigurationState state() {
		return this.state.get();
	}

	/**
	 * Applies records that follow the newest state without a gap; others are ignored.
	 * @param records records in the order of the log
	 * @return the number of records that advanced the state
	 */
	public synchronized int fold(List<LogRecord> records) {
		ConfigurationState next = this.state.get();
		int folded = 0;
		for (LogRecord logRecord : records) {
			if (logRecord.offset() == next.offset() + 1) {
				next = next.fold(logRecord.offset(), logRecord.payload());
				this.recentRecords = this.recentRecords.append(logRecord);
				folded++;
			}
		}
		if (this.recentRecords.size() > MAX_RECENT_RECORDS) {
			this.recentRecords = this.recentRecords.drop(this.recentRecords.size() - MAX_RECENT_RECORDS);
		}
		this.state.set(next);
		return folded;
	}

	/**
	 * Replaces the state by a snapshot if the snapshot is newer.
	 * @param snapshot the snapshot
	 * @return true if the state advanced
	 */
	public synchronized boolean restore(ConfigurationSnapshot snapshot) {
		if (snapshot.offset() <= this.state.get().offset()) {
			return false;
		}
		this.state.set(ConfigurationState.restore(snapshot));
		this.recentRecords = Vector.empty();
		return true;
	}

	/**
	 * Returns recent records for a peer that lags behind.
	 * @param fromOffset offset of the first record that the peer lacks
	 * @param limit maximum number of records
	 * @return the records, or an empty list if the first one is no longer kept
	 */
	public synchronized List<LogRecord> recordsFrom(long fromOffset, int limit) {
		if (this.recentRecords.isEmpty() || this.recentRecords.head().offset() > fromOffset) {
			return List.of();
		}
		return this.recentRecords.drop((int) (fromOffset - this.recentRecords.head().offset())).take(limit).asJava();
	}

}
