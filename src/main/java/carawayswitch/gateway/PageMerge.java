package carawayswitch.gateway;

/**
 * How a page is merged into the records that a host already knows. A record that is older
 * than the known one by its own version never replaces it. Immutable.
 *
 * @param replaces true if records of the page replace known ones; otherwise only records
 * that are newer by their own version do
 * @param removes true if known records that are not on the page do not exist
 */
record PageMerge(boolean replaces, boolean removes) {

	/** The page holds the changes since the last one. */
	static final PageMerge CHANGES = new PageMerge(true, false);

	/** The page holds all records as they are now. */
	static final PageMerge ALL = new PageMerge(true, true);

	/**
	 * The page holds all records of a store that was just restored from an older copy:
	 * what is missing there, or different, may only be lost.
	 */
	static final PageMerge OLDER_COPY = new PageMerge(false, false);

	/**
	 * The page holds all records of a restored store whose authors had time to write what
	 * was lost. A record that still differs from a known one has not been written again.
	 */
	static final PageMerge SETTLED_COPY = new PageMerge(false, true);

}
