package carawayswitch.route;

import java.util.Locale;

/**
 * Stored statement that streams of a route may have begun at an origin. Immutable.
 *
 * @param route name of the route
 * @param origin the origin
 * @param state what holds for the streams that have begun there
 * @param revision number of the change, higher than that of the entry that it replaces
 */
public record OriginEntry(String route, StreamOrigin origin, State state, long revision) {

	OriginEntry withState(State newState) {
		return new OriginEntry(this.route, this.origin, newState, this.revision + 1);
	}

	/**
	 * Returns whether this is an earlier revision of an entry.
	 * @param other the other entry of the same route and origin
	 * @return true if the other one replaces this one
	 */
	public boolean olderThan(OriginEntry other) {
		return this.revision < other.revision;
	}

	/**
	 * What holds for the streams that have begun at an origin.
	 */
	public enum State {

		/** Every stream is recorded before its client gets an event. */
		NEW,

		/** There may be streams that are not recorded. */
		ESTABLISHED,

		/** As {@link #ESTABLISHED}, but no stream begins there any more. */
		RETIRED;

		/**
		 * Returns the name of the state as stored.
		 * @return the lower-case name
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
