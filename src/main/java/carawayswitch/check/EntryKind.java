package carawayswitch.check;

/**
 * Kinds of entries of a configuration. Immutable.
 */
public enum EntryKind {

	/** The fields that apply to the whole configuration; there is one such entry. */
	CONFIGURATION("configuration"),

	/** A route. */
	ROUTE("route"),

	/** A service. */
	SERVICE("service"),

	/** An organisation with its keys. */
	ORGANISATION("organisation");

	private final String label;

	EntryKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the name of the kind in reports.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Names an entry in a report.
	 * @param name name of the entry
	 * @return kind and name
	 */
	public String entry(String name) {
		return (this == CONFIGURATION) ? this.label : this.label + " \"" + name + "\"";
	}

}
