package carawayswitch.check;

import java.util.List;
import java.util.Locale;

/**
 * An entry that differs from the version in force. Immutable. API keys are named by a
 * digest.
 *
 * @param kind kind of the entry
 * @param name name of the entry; a further entry of the same kind and name has its number
 * in brackets
 * @param change what happens to the entry
 * @param fields the fields that differ; all fields of an entry that is added or removed
 */
public record Difference(EntryKind kind, String name, Change change, List<FieldChange> fields) {

	/**
	 * What happens to an entry. Immutable.
	 */
	public enum Change {

		/** Only the new version has the entry. */
		ADDED,

		/** Only the version in force has the entry. */
		REMOVED,

		/** Both versions have the entry, with other fields. */
		CHANGED;

		/**
		 * Returns the name of the change in reports.
		 * @return the name in lower case
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/**
	 * A field that differs. Immutable.
	 *
	 * @param field name of the field
	 * @param before value in the version in force, or null if it lacks the entry
	 * @param after value in the new version, or null if it lacks the entry
	 */
	public record FieldChange(String field, String before, String after) {

	}

}
