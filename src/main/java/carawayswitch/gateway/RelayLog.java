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
	static final int MAX_TOMBSTONES = 2000;

	private final Map<String, CachedRecord<T>> records = new HashMap<>();

	private Runnable onChange = () -> {
	};

	/** Hosts that have read up to this offset or further can be told what changed. */
	private long oldestDeltaOffset = -1;

	private long nextOffset = -1;

	private int tombstones;

	private boolean storeReadable = true;

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
	void storeReadable(boolean value) {
		this.storeReadable = value;
	}

	/**
	 * Takes in what was read.
	 * @param page the records
	 * @param complete true if names without a record do not exist
	 * @param newestConfirmation the newest read that has confirmed what this host knows
	 */
	void update(RecordSource.Page<T> page, boolean complete, Confirmation newestConfirmation) {
		this.confirmation = newestConfirmation;
		if (this.nextOffset < 0) {
			this.oldestDeltaOffset = page.nextOffset();
		}
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		boolean changed = false;
		if (complete) {
			for (String name : List.copyOf(this.records.keySet())) {
				changed |= !page.entries().containsKey(name) && put(name, Optional.empty(), new byte[0]);
			}
		}
		for (Map.Entry<String, Optional<T>> entry : page.entries().entrySet()) {
			changed |= put(entry.getKey(), entry.getValue(), page.values().get(entry.getKey()));
		}
		if (this.tombstones > MAX_TOMBSTONES) {
			this.records.values().removeIf((cached) -> cached.content.isEmpty());
			this.tombstones = 0;
			this.oldestDeltaOffset = this.nextOffset;
		}
		if (changed) {
			this.onChange.run();
		}
	}

	private boolean put(String name, Optional<T> content, byte[] encoded) {
		CachedRecord<T> previous = this.records.get(name);
		if (previous != null && previous.content.equals(content)) {
			return false;
		}
		this.tombstones += content.isEmpty() ? 1 : 0;
		this.records.put(name, new CachedRecord<>(name, content, encoded, this.nextOffset));
		return true;
	}

	/**
	 * Returns whether an answer would hold a record that the asking host does not know.
	 * @param fromOffset offset from which on the host does not know the records
	 * @return true if there is something to tell
	 */
	boolean hasUpdates(long fromOffset) {
		return fromOffset < this.oldestDeltaOffset
				|| this.records.values().stream().anyMatch((cached) -> cached.offset > fromOffset);
	}

	/**
	 * Answers a host.
	 * @param sequence number of its ask
	 * @param fromOffset offset from which on the host does not know the records
	 * @param arrivedAt clocks of this host when the ask arrived
	 * @param now clocks of this host now
	 * @return the answer
	 */
	RelayReply answer(long sequence, long fromOffset, Confirmation arrivedAt, Confirmation now) {
		long ageMillis = this.confirmation.ageMillis(arrivedAt.monotonicMillis(), arrivedAt.wallMillis());
		boolean ageKnown = this.confirmation.ageMillis(now.monotonicMillis(),
				now.wallMillis()) != Confirmation.UNKNOWN_AGE_MILLIS;
		if (!this.storeReadable || this.nextOffset < 0 || !ageKnown || ageMillis == Confirmation.UNKNOWN_AGE_MILLIS) {
			return notCurrent(sequence);
		}
		boolean complete = fromOffset < this.oldestDeltaOffset;
		List<RelayRecord> updates = new ArrayList<>();
		this.records.values().forEach((cached) -> {
			boolean included = complete ? cached.content.isPresent() : cached.offset > fromOffset;
			if (included) {
				updates.add(cached.relayRecord());
			}
		});
		return new RelayReply(sequence, true, this.nextOffset, ageMillis, complete, updates);
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
	private static final class CachedRecord<T> {

		private final String name;

		/** What the record says; empty if it was removed or cannot be read. */
		private final Optional<T> content;

		/** The record as the store holds it. */
		private final byte[] encoded;

		/** Offset of the page that brought this meaning. */
		private final long offset;

		/** The record for other hosts, made when the first of them asks. */
		private RelayRecord relayRecord;

		CachedRecord(String name, Optional<T> content, byte[] encoded, long offset) {
			this.name = name;
			this.content = content;
			this.encoded = encoded;
			this.offset = offset;
		}

		RelayRecord relayRecord() {
			if (this.relayRecord == null) {
				this.relayRecord = RecordCompression.compress(this.name,
						this.content.isPresent() ? this.encoded : new byte[0]);
			}
			return this.relayRecord;
		}

	}

}
