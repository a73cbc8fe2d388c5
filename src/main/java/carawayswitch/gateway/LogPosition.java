package carawayswitch.gateway;

import java.util.Comparator;

/**
 * Position in a log of the store. The store may be restored from an older copy, after
 * which offsets are given out again; offsets are therefore compared only within one epoch
 * of the store. Positions are ordered by epoch, then by whether the epoch had settled,
 * then by offset. Immutable.
 *
 * @param epoch epoch of the store, which rises with each restore
 * @param settled true if the records that were lost with the restore had been written
 * again when the records before this position were read
 * @param offset offset of the next record to read
 */
public record LogPosition(long epoch, boolean settled, long offset) implements Comparable<LogPosition> {

	/** Position of a host that has read nothing. */
	static final LogPosition NONE = new LogPosition(-1, false, -1);

	private static final Comparator<LogPosition> BY_PHASE = Comparator.comparingLong(LogPosition::epoch)
		.thenComparing(LogPosition::settled);

	private static final Comparator<LogPosition> ORDER = BY_PHASE.thenComparingLong(LogPosition::offset);

	/**
	 * Returns the position of a page that was read from the store itself.
	 * @param epoch epoch that the store named in its answer
	 * @param offset offset of the next record to read
	 * @return the position; whether the epoch has settled is for the reader to say
	 */
	public static LogPosition ofStore(long epoch, long offset) {
		return new LogPosition(epoch, false, offset);
	}

	LogPosition withSettled(boolean newSettled) {
		return new LogPosition(this.epoch, newSettled, this.offset);
	}

	// Within a phase (an epoch before or after it has settled) changes alone lead from
	// one position to a later one.
	boolean samePhase(LogPosition other) {
		return BY_PHASE.compare(this, other) == 0;
	}

	boolean earlierPhase(LogPosition other) {
		return BY_PHASE.compare(this, other) < 0;
	}

	@Override
	public int compareTo(LogPosition other) {
		return ORDER.compare(this, other);
	}

}
