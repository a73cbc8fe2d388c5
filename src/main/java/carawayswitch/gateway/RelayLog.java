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
 * Cached records of one kind that this host has read, relayed to hosts that query it in
 * place of the store. A record whose decoded content has not changed is not relayed
 * again, so that heartbeats of endpoints cause no relay traffic. Invariants:
 * <ul>
 * <li>A host that has applied all replies holds the latest record of every name as of the
 * offset of the last reply.</li>
 * <li>A reply never claims to be younger than the read of the store that it is based
 * on.</li>
 * </ul>
 * Does no I/O. Not thread-safe.
 *
 * @param <T> type of a decoded record
 */
final class RelayLog<T> {

	/**
	 * Maximum number of tombstones that are kept for removed names. Above it all are
	 * dropped, and hosts that have not read that far get a complete reply.
	 */
	static final int MAX_TOMBSTONES = 2000;

	private final Map<String, CachedRecord<T>> records = new HashMap<>();

	private Runnable onChange = () -> {
	};

	/**
	 * Lowest offset from which a reply can hold only the changes; hosts that have not
	 * read that far get a complete reply.
	 */
	private long oldestDeltaOffset = -1;

	private long nextOffset = -1;

	/** Removals since the tombstones were last dropped. */
	private int removals;

	private boolean storeReadable = true;

	private Confirmation confirmation = Confirmation.NONE;

	/**
	 * Sets the action to run after records have changed.
	 * @param action the action
	 */
	void onChange(Runnable action) {
		this.onChange = action;
	}

	/**
	 * Records whether the store can be read; no reply is current while it cannot.
	 * @param value false while reads fail
	 */
	void storeReadable(boolean value) {
		this.storeReadable = value;
	}

	/**
	 * Applies the records of a read.
	 * @param page the records
	 * @param complete true if names without a record do not exist
	 * @param newestConfirmation time as of which the cached records are confirmed
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
		if (this.removals > MAX_TOMBSTONES) {
			this.records.values().removeIf((cached) -> cached.content.isEmpty());
			this.removals = 0;
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
		this.removals += content.isEmpty() ? 1 : 0;
		this.records.put(name, new CachedRecord<>(name, content, encoded, this.nextOffset));
		return true;
	}

	/**
	 * Returns whether a reply would hold a record that the requesting host does not have.
	 * @param fromOffset offset of the first record that the requesting host has not read
	 * @return true if there are records to relay
	 */
	boolean hasUpdates(long fromOffset) {
		return fromOffset < this.oldestDeltaOffset
				|| this.records.values().stream().anyMatch((cached) -> cached.offset > fromOffset);
	}

	/**
	 * Creates the reply to a request.
	 * @param sequence sequence number of the request
	 * @param fromOffset offset of the first record that the requesting host has not read
	 * @param arrivedAt reading of the clocks of this host when the request arrived
	 * @param now current reading of the clocks of this host
	 * @return the reply
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
	 * Returns the reply of a host that cannot guarantee that its records are current.
	 * @param sequence sequence number of the request
	 * @return the reply
	 */
	static RelayReply notCurrent(long sequence) {
		return new RelayReply(sequence, false, 0, 0, false, List.of());
	}

	/**
	 * A cached record, or the tombstone of a removed one. Confined to its log.
	 *
	 * @param <T> type of a decoded record
	 */
	private static final class CachedRecord<T> {

		private final String name;

		/** The decoded record; empty if it was removed or cannot be decoded. */
		private final Optional<T> content;

		/** The encoded record as it is stored. */
		private final byte[] encoded;

		/** Next offset of the page in which this content was first read. */
		private final long offset;

		/** The record as it is sent to other hosts, created on first use. */
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
