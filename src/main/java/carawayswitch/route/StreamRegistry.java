package carawayswitch.route;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Streams whose origin is known to this host, each until its client no longer waits.
 * Invariant: the origin of a key never changes; the size is bounded, and the oldest
 * streams are dropped first. Times are milliseconds. Not thread-safe.
 */
public final class StreamRegistry {

	/** Most streams that are kept. */
	static final int MAX_STREAMS = 50_000;

	private final Map<String, Known> streams = new LinkedHashMap<>();

	/**
	 * Adds a stream, unless its key is known.
	 * @param key key of the stream
	 * @param origin what has begun it
	 * @param lifetimeMillis time for which the client may take it up
	 * @param now current time
	 */
	public void add(String key, StreamOrigin origin, long lifetimeMillis, long now) {
		removeExpired(now);
		this.streams.putIfAbsent(key, new Known(origin, now + lifetimeMillis));
	}

	// Streams have lifetimes of their own, so that one with a long lifetime keeps later
	// ones for longer; the bound on the size holds all the same.
	private void removeExpired(long now) {
		Iterator<Known> oldestFirst = this.streams.values().iterator();
		while (oldestFirst.hasNext()) {
			if (oldestFirst.next().expiresAt() > now && this.streams.size() < MAX_STREAMS) {
				return;
			}
			oldestFirst.remove();
		}
	}

	/**
	 * Finds the origin of a stream.
	 * @param key key of the stream
	 * @return the origin, if it is known
	 */
	public Optional<StreamOrigin> find(String key) {
		return Optional.ofNullable(this.streams.get(key)).map(Known::origin);
	}

	/**
	 * A stream and the end of its lifetime. Immutable.
	 *
	 * @param origin what has begun it
	 * @param expiresAt time from which its client no longer waits
	 */
	private record Known(StreamOrigin origin, long expiresAt) {

	}

}
