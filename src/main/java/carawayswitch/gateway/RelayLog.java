package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import carawayswitch.message.RelayRecord;
import carawayswitch.message.RelayReply;
import carawayswitch.route.Confirmation;

/**
 * Records of one kind that this host has read, kept for hosts that ask it in place of the
 * store. A record whose meaning has not changed is not passed on again, so that
 * heartbeats of endpoints cost nothing. Invariants:
 * <ul>
 * <li>A host that has taken in all answers knows the newest record of every name as of
 * the answer's offset.</li>
 * <li>An answer is never said to be younger than the read that it comes from.</li>
 * </ul>
 * Does no I/O. Not safe for use by several threads.
 *
 * @param <T> what a record says
 */
final class RelayLog<T> {

	/** Removed names that are remembered; hosts that know less are told everything. */
	static final int MAX_REMOVED = 2000;

	private final Map<String, Kept<T>> records = new HashMap<>();

	private Runnable onChange = () -> {
	};

	/** Hosts that have read up to this offset or further can be told what changed. */
	private long completeFrom = -1;

	private long nextOffset = -1;

	private int removed;

	private boolean current = true;

	private Confirmation confirmation = Confirmation.NONE;

	/**
	 * Sets what is run after a change.
	 * @param action the action
	 */
	void onChange(Runnable action) {
		this.onChange = action;
	}

	/**
	 * Notes whether the store can be read.
	 * @param value false while reads fail
	 */
	void current(boolean value) {
		this.current = value;
	}

	/**
	 * Takes in what was read.
	 * @param page the records
	 * @param whole true if names without a record do not exist
	 * @param confirmed the newest read that has confirmed what this host knows
	 */
	void update(BeliefSource.Page<T> page, boolean whole, Confirmation confirmed) {
		this.confirmation = confirmed;
		if (this.nextOffset < 0) {
			this.completeFrom = page.nextOffset();
		}
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		boolean changed = false;
		if (whole) {
			for (String name : List.copyOf(this.records.keySet())) {
				changed |= !page.entries().containsKey(name) && put(name, Optional.empty(), new byte[0]);
			}
		}
		for (Map.Entry<String, Optional<T>> entry : page.entries().entrySet()) {
			changed |= put(entry.getKey(), entry.getValue(), page.values().get(entry.getKey()));
		}
		if (this.removed > MAX_REMOVED) {
			this.records.values().removeIf((kept) -> kept.meaning.isEmpty());
			this.removed = 0;
			this.completeFrom = this.nextOffset;
		}
		if (changed) {
			this.onChange.run();
		}
	}

	private boolean put(String name, Optional<T> meaning, byte[] value) {
		Kept<T> before = this.records.get(name);
		if (before != null && before.meaning.equals(meaning)) {
			return false;
		}
		this.removed += meaning.isEmpty() ? 1 : 0;
		this.records.put(name, new Kept<>(name, meaning, value, this.nextOffset));
		return true;
	}

	/**
	 * Returns whether an answer would hold a record that the asking host does not know.
	 * @param fromOffset offset from which on the host does not know the records
	 * @return true if there is something to tell
	 */
	boolean news(long fromOffset) {
		return fromOffset < this.completeFrom
				|| this.records.values().stream().anyMatch((kept) -> kept.offset > fromOffset);
	}

	/**
	 * Answers a host.
	 * @param sequence number of its ask
	 * @param fromOffset offset from which on the host does not know the records
	 * @param arrived clocks of this host when the ask arrived
	 * @param now clocks of this host now
	 * @return the answer
	 */
	RelayReply answer(long sequence, long fromOffset, Confirmation arrived, Confirmation now) {
		long age = this.confirmation.age(arrived.steadyMillis(), arrived.wallMillis());
		boolean known = this.confirmation.age(now.steadyMillis(), now.wallMillis()) != Confirmation.UNKNOWN_AGE;
		if (!this.current || this.nextOffset < 0 || !known || age == Confirmation.UNKNOWN_AGE) {
			return notCurrent(sequence);
		}
		boolean whole = fromOffset < this.completeFrom;
		List<RelayRecord> news = new ArrayList<>();
		this.records.values().forEach((kept) -> {
			boolean wanted = whole ? kept.meaning.isPresent() : kept.offset > fromOffset;
			if (wanted) {
				news.add(kept.packed());
			}
		});
		return new RelayReply(sequence, true, this.nextOffset, age, whole, news);
	}

	/**
	 * Returns the answer of a host that cannot vouch for its records.
	 * @param sequence number of the ask
	 * @return the answer
	 */
	static RelayReply notCurrent(long sequence) {
		return new RelayReply(sequence, false, 0, 0, false, List.of());
	}

	/**
	 * A record that can be passed on. Confined to its log.
	 *
	 * @param <T> what a record says
	 */
	private static final class Kept<T> {

		private final String name;

		/** What the record says; empty if it was removed or cannot be read. */
		private final Optional<T> meaning;

		/** The record as the store holds it. */
		private final byte[] value;

		/** Offset of the page that brought this meaning. */
		private final long offset;

		/** The record for other hosts, made when the first of them asks. */
		private RelayRecord packed;

		Kept(String name, Optional<T> meaning, byte[] value, long offset) {
			this.name = name;
			this.meaning = meaning;
			this.value = value;
			this.offset = offset;
		}

		RelayRecord packed() {
			if (this.packed == null) {
				this.packed = RecordCompression.compress(this.name,
						this.meaning.isPresent() ? this.value : new byte[0]);
			}
			return this.packed;
		}

	}

}
