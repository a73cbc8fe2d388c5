package carawayswitch.gateway;

import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;

/**
 * Source of keyed records of one kind. Confined to the thread of its event loop.
 *
 * @param <T> type of a decoded record
 */
public interface RecordSource<T> {

	/**
	 * Reads the latest record of each key.
	 * @return all records, as of the time of the call or later; fails if they could not
	 * be read
	 */
	Promise<Page<T>> readLatest();

	/**
	 * Reads the records from a position on, as many as the source returns at once. If the
	 * page is of another epoch than the position, it doesn't follow on from it.
	 * @param from position of the first record to read
	 * @param waitMillis time to wait for a record in milliseconds; 0 for an immediate
	 * answer
	 * @return the records; fails if they could not be read
	 */
	Promise<Page<T>> readFrom(LogPosition from, long waitMillis);

	/**
	 * Reads the records from a position on from the store itself, without waiting for new
	 * ones.
	 * @param from position of the first record to read
	 * @return the records; fails if they could not be read
	 */
	default Promise<Page<T>> readFromStore(LogPosition from) {
		return readFrom(from, 0);
	}

	/**
	 * Decodes stored records.
	 * @param values latest encoded value of each name; an empty array for a removed one
	 * @param next position of the next record to read
	 * @return the records
	 */
	Page<T> decode(Map<String, byte[]> values, LogPosition next);

	/**
	 * Records returned by a read. Immutable.
	 *
	 * @param <T> type of a decoded record
	 * @param entries latest record of each name; empty for a removed or unreadable one
	 * @param values the encoded records as they are stored, by name
	 * @param next position of the next record to read
	 * @param offsetExpired true if the records at the requested offset are not available
	 * and all records must be read anew
	 * @param upToDate false if the store holds later records, of which the next read
	 * brings more; the page then does not tell the state as of the time of the read
	 * @param relay origin of records that another host relayed, or null if the store was
	 * read
	 */
	record Page<T>(Map<String, Optional<T>> entries, Map<String, byte[]> values, LogPosition next,
			boolean offsetExpired, boolean upToDate, RelayOrigin relay) {

		/**
		 * Returns the result of a read whose offset is not available.
		 * @param <T> type of a decoded record
		 * @param epoch epoch of the store
		 * @return the page
		 */
		public static <T> Page<T> ofExpiredOffset(long epoch) {
			return new Page<>(Map.of(), Map.of(), LogPosition.ofStore(epoch, 0), true, false, null);
		}

		/**
		 * Returns the page with the mark that the store holds later records.
		 * @return the page
		 */
		public Page<T> withMoreToRead() {
			return new Page<>(this.entries, this.values, this.next, this.offsetExpired, false, this.relay);
		}

		Page<T> withRelay(RelayOrigin origin) {
			return new Page<>(this.entries, this.values, this.next, this.offsetExpired, this.upToDate, origin);
		}

	}

	/**
	 * Origin of records that another host relayed. Immutable.
	 *
	 * @param host id of the relaying host
	 * @param ageMillis time from the read of the store to the arrival of the request at
	 * the relaying host in milliseconds; negative if the store was read while the request
	 * was held open
	 * @param complete true if names without a record do not exist
	 */
	record RelayOrigin(String host, long ageMillis, boolean complete) {

	}

}
