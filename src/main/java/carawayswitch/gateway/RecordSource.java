package carawayswitch.gateway;

import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;

/**
 * Source of keyed records of one kind. Confined to the thread of its event loop.
 *
 * @param <T> what a record says
 */
public interface RecordSource<T> {

	/**
	 * Reads the newest record of each key.
	 * @return all records; fails if they could not be read
	 */
	Promise<Page<T>> readLatest();

	/**
	 * Reads the records that follow an offset.
	 * @param offset offset of the first wanted record
	 * @param waitMillis time to wait for a record in milliseconds, or 0
	 * @return the records; fails if they could not be read
	 */
	Promise<Page<T>> readFrom(long offset, long waitMillis);

	/**
	 * Reads the records that follow an offset from the store itself, at once.
	 * @param offset offset of the first wanted record
	 * @return the records; fails if they could not be read
	 */
	default Promise<Page<T>> readFromStore(long offset) {
		return readFrom(offset, 0);
	}

	/**
	 * Decodes records as the store holds them.
	 * @param values newest value of each name; empty for a removed one
	 * @param nextOffset offset of the next record to read
	 * @return the records
	 */
	Page<T> decode(Map<String, byte[]> values, long nextOffset);

	/**
	 * Records that were read. Immutable.
	 *
	 * @param <T> what a record says
	 * @param entries newest record of each name; empty for a removed or unreadable one
	 * @param values the records as the store holds them
	 * @param nextOffset offset of the next record to read
	 * @param offsetExpired true if the wanted records are gone and all must be read anew
	 * @param relay how another host has passed the records on, or null if the store was
	 * read
	 */
	record Page<T>(Map<String, Optional<T>> entries, Map<String, byte[]> values, long nextOffset, boolean offsetExpired,
			RelayOrigin relay) {

		/**
		 * Returns the answer to a read of records that are gone.
		 * @param <T> what a record says
		 * @return the page
		 */
		public static <T> Page<T> ofExpiredOffset() {
			return new Page<>(Map.of(), Map.of(), 0, true, null);
		}

		Page<T> withRelay(RelayOrigin origin) {
			return new Page<>(this.entries, this.values, this.nextOffset, this.offsetExpired, origin);
		}

	}

	/**
	 * How another host has passed records on. Immutable.
	 *
	 * @param host id of that host
	 * @param ageMillis time from the read of the store to the arrival of the ask in
	 * milliseconds; negative if the store was read while the ask waited
	 * @param complete true if names without a record do not exist
	 */
	record RelayOrigin(String host, long ageMillis, boolean complete) {

	}

}
