package carawayswitch.route;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Decides where a stream goes on that a client takes up. A stream goes on only at its
 * origin, which is known if this host or the store has recorded it, and otherwise if
 * streams that are not recorded can have begun at one origin only. It is never guessed.
 * Immutable.
 *
 * @param verdict what to do
 * @param origin where the stream goes on, or null
 * @param source how the origin is known, or why it is not
 */
public record StreamResumption(Verdict verdict, StreamOrigin origin, String source) {

	/** Decision while the store cannot be read. */
	public static final StreamResumption STORE_UNREADABLE = new StreamResumption(Verdict.NOT_KNOWN_YET, null,
			"store_unreadable");

	/**
	 * Decides by what is known of the stream itself.
	 * @param route the route of the request
	 * @param known origin of the stream
	 * @param source where it is known from
	 * @return the decision
	 */
	public static StreamResumption ofKnown(Route route, StreamOrigin known, String source) {
		boolean onRoute = route.services()
			.stream()
			.anyMatch((candidate) -> candidate.service().equals(known.service()));
		return onRoute ? new StreamResumption(Verdict.GO_ON, known, source)
				: new StreamResumption(Verdict.NOT_RESUMABLE, null, "route_moved");
	}

	/**
	 * Decides by what was read from the store after the request had arrived.
	 * @param route the route of the request
	 * @param recorded origin of the stream as recorded, if it is
	 * @param table the origin table
	 * @param nothingLost false if the store may have lost records or entries, because it
	 * was restored from an older copy
	 * @return the decision
	 */
	public static StreamResumption decide(Route route, Optional<StreamOrigin> recorded, OriginTable table,
			boolean nothingLost) {
		if (recorded.isPresent()) {
			return ofKnown(route, recorded.get(), "recorded");
		}
		if (!nothingLost) {
			return new StreamResumption(Verdict.NOT_RESUMABLE, null, "store_restored");
		}
		Set<StreamOrigin> possible = table.possibleUnrecorded(route.name());
		return (possible.size() == 1) ? ofKnown(route, possible.iterator().next(), "only_origin")
				: new StreamResumption(Verdict.NOT_RESUMABLE, null, "not_recorded");
	}

	/**
	 * What to do with a stream that a client takes up.
	 */
	public enum Verdict {

		/** Goes on at the origin. */
		GO_ON,

		/** The origin is not known, but may be later. */
		NOT_KNOWN_YET,

		/** The origin will not be known, or the route does not lead to it any more. */
		NOT_RESUMABLE;

		/**
		 * Returns the name of the verdict in metrics.
		 * @return the lower-case name
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
