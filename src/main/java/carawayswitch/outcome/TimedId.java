package carawayswitch.outcome;

import java.util.UUID;

import com.github.f4b6a3.uuid.UuidCreator;
import io.vavr.control.Option;
import io.vavr.control.Try;

/**
 * Ids that carry the time of their creation: UUIDs of version 7. Stateless and safe for
 * use by several threads.
 */
public final class TimedId {

	private static final int VERSION = 7;

	private static final int TIMESTAMP_SHIFT = 16;

	private static final int UUID_LENGTH = 36;

	private TimedId() {
	}

	/**
	 * Creates an id.
	 * @return the id
	 */
	public static String next() {
		return UuidCreator.getTimeOrderedEpoch().toString();
	}

	/**
	 * Returns the time at which an id was created.
	 * @param id the id
	 * @return milliseconds since the epoch, or nothing if the text is not such an id
	 */
	public static Option<Long> mintedMillis(String id) {
		if (id.length() != UUID_LENGTH) {
			return Option.none();
		}
		return Try.of(() -> UUID.fromString(id))
			.toOption()
			.filter((uuid) -> uuid.version() == VERSION)
			.map((uuid) -> uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT);
	}

	/**
	 * Returns the age of an id.
	 * @param id the id
	 * @param wall wall-clock time in milliseconds since the epoch
	 * @return the age in milliseconds; the largest value if the text is not such an id
	 */
	public static long ageMillis(String id, long wall) {
		return mintedMillis(id).map((minted) -> wall - minted).getOrElse(Long.MAX_VALUE);
	}

}
