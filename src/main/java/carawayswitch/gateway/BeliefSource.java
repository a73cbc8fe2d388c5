package carawayswitch.gateway;

import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;

/**
 * Source of keyed records of one kind. Confined to the thread of its event loop.
 *
 * @param <T> what a record says
 */
public interface BeliefSource<T> {

	/**
	 * Reads the newest record of each key.
	 * @return all records; fails if they could not be read
	 */
	Promise<Page<T>> newest();

	/**
	 * Reads the records that follow an offset.
	 * @param offset offset of the first wanted record
	 * @param waitMillis time to wait for a record in milliseconds, or 0
	 * @return the records; fails if they could not be read
	 */
	Promise<Page<T>> after(long offset, long waitMillis);

	/**
	 * Records that were read. Immutable.
	 *
	 * @param <T> what a record says
	 * @param entries newest record of each key; empty for a removed key
	 * @param unreadable number of records that could not be decoded
	 * @param nextOffset offset of the next record to read
	 * @param trimmed true if the wanted records are gone and all must be read anew
	 */
	record Page<T>(Map<String, Optional<T>> entries, int unreadable, long nextOffset, boolean trimmed) {

		/**
		 * Returns the answer to a read of records that are gone.
		 * @param <T> what a record says
		 * @return the page
		 */
		public static <T> Page<T> gone() {
			return new Page<>(Map.of(), 0, 0, true);
		}

	}

}
