package carawayswitch.outcome;

import java.util.UUID;

import com.github.f4b6a3.uuid.UuidCreator;
import io.vavr.control.Option;
import io.vavr.control.Try;

/**
 * Creates and reads time-ordered ids: UUIDs of version 7, which contain the time of their
 * creation. Stateless and thread-safe.
 */
public final class TimeOrderedId {

	private static final int UUID_VERSION = 7;

	private static final int TIMESTAMP_SHIFT_BITS = 16;

	private static final int UUID_LENGTH = 36;

	private TimeOrderedId() {
	}

	/**
	 * Creates an id from the current time.
	 * @return a UUID of version 7 as text
	 */
	public static String next() {
		return UuidCreator.getTimeOrderedEpoch().toString();
	}

	/**
	 * Returns the time at which an id was created.
	 * @param id the id
	 * @return milliseconds since the epoch, or nothing if the text is not a UUID of
	 * version 7
	 */
	public static Option<Long> createdMillis(String id) {
		if (id.length() != UUID_LENGTH) {
			return Option.none();
		}
		return Try.of(() -> UUID.fromString(id))
			.toOption()
			.filter((uuid) -> uuid.version() == UUID_VERSION)
			.map((uuid) -> uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS);
	}

	/**
	 * Returns the age of an id.
	 * @param id the id
	 * @param wallMillis current wall-clock time in milliseconds since the epoch
	 * @return the age in milliseconds; {@link Long#MAX_VALUE} if the text is not a UUID
	 * of version 7
	 */
	public static long ageMillis(String id, long wallMillis) {
		return createdMillis(id).map((createdAtMillis) -> wallMillis - createdAtMillis).getOrElse(Long.MAX_VALUE);
	}

}
