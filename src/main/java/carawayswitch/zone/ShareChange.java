package carawayswitch.zone;

import java.util.Locale;

/**
 * Change of the share of a zone's work that may leave, for the log. Immutable.
 *
 * @param zone the zone
 * @param kind what has changed
 * @param share the new share, 0 to 1
 * @param load expected load of the zone's own endpoints; infinite if there are none
 * @param gainMillis expected wait that is saved by leaving, in milliseconds
 * @param costMillis cost of leaving for work of mean size, in milliseconds
 */
public record ShareChange(String zone, Kind kind, double share, double load, double gainMillis, double costMillis) {

	/**
	 * What has changed. Immutable.
	 */
	public enum Kind {

		/** The zone has begun to send work away. */
		BEGAN,

		/** The zone sends another share of its work away. */
		CHANGED,

		/** The zone no longer sends work away. */
		STOPPED;

		/**
		 * Returns the name for the log.
		 * @return the lower-case name
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
