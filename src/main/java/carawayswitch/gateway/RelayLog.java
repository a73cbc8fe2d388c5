package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

import carawayswitch.message.RelayRecord;
import carawayswitch.message.RelayReply;
import carawayswitch.route.Confirmation;

/**
 * Cached records of one kind that this host has read, relayed to hosts that query it in
 * place of the store. A record whose decoded content has not changed is not relayed
 * again, so that heartbeats of endpoints cause no relay traffic. Invariants:
 * <ul>
 * <li>A host that has applied all replies holds the latest record of every name as of the
 * position of the last reply.</li>
 * <li>A record never goes back to an older version of itself, nor does a removed one
 * return, because the store was restored from an older copy.</li>
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

	private final BiPredicate<T, T> older;

	private Runnable onChange = () -> {
	};

	/**
	 * Lowest position from which a reply can hold only the changes; hosts that have not
	 * read that far get a complete reply.
	 */
	private LogPosition oldestDelta = LogPosition.NONE;

	private LogPosition position = LogPosition.NONE;

	/** Removals since the tombstones were last dropped. */
	private int removals;

	private boolean storeReadable = true;

	private Confirmation confirmation = Confirmation.NONE;

	/**
	 * Creates an empty log.
	 * @param older whether the first of two records of one name is older than the second
	 * by its own version; false if it has none
	 */
	RelayLog(BiPredicate<T, T> older) {
		this.older = older;
	}

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
	 * Merges the records of a read.
	 * @param page the records
	 * @param newPosition position of the next record to read, not before the latest one
	 * @param merge how to merge them
	 * @param newestConfirmation time as of which the cached records are confirmed
	 * @return what has changed
	 */
	Changes<T> update(RecordSource.Page<T> page, LogPosition newPosition, PageMerge merge,
			Confirmation newestConfirmation) {
		this.confirmation = newestConfirmation;
		boolean newPhase = !newPosition.samePhase(this.position);
		if (newPhase) {
			this.oldestDelta = newPosition;
		}
		this.position = newPosition;
		Map<String, Optional<T>> entries = new LinkedHashMap<>();
		List<String> outdated = new ArrayList<>();
		if (merge.removes()) {
			for (String name : List.copyOf(this.records.keySet())) {
				if (!page.entries().containsKey(name) && put(name, Optional.empty(), new byte[0])) {
					entries.put(name, Optional.empty());
				}
			}
		}
		page.entries().forEach((name, content) -> {
			CachedRecord<T> known = this.records.get(name);
			if (known != null && content.isPresent() && known.isNewerThan(content.get(), this.older)) {
				outdated.add(name);
			}
			else if ((merge.replaces() || known == null || known.isOlderThan(content, this.older))
					&& put(name, content, page.values().get(name))) {
				entries.put(name, content);
			}
		});
		dropExcessTombstones();
		if (newPhase || !entries.isEmpty()) {
			this.onChange.run();
		}
		return new Changes<>(entries, outdated);
	}

	private void dropExcessTombstones() {
		if (this.removals > MAX_TOMBSTONES) {
			this.records.values().removeIf((cached) -> cached.content.isEmpty());
			this.removals = 0;
			this.oldestDelta = this.position;
		}
	}

	private boolean put(String name, Optional<T> content, byte[] encoded) {
		CachedRecord<T> previous = this.records.get(name);
		if (previous != null && previous.content.equals(content)) {
			return false;
		}
		this.removals += content.isEmpty() ? 1 : 0;
		Optional<T> latest = content.or(() -> (previous != null) ? previous.latest : Optional.empty());
		this.records.put(name, new CachedRecord<>(name, content, latest, encoded, this.position));
		return true;
	}

	/**
	 * Returns the known records that a complete read does not have.
	 * @param page all records of the store
	 * @return the records by name; empty for one that was removed but is on the page
	 */
	Map<String, Optional<T>> missingFrom(RecordSource.Page<T> page) {
		Map<String, Optional<T>> missing = new LinkedHashMap<>();
		this.records.forEach((name, cached) -> {
			if (!cached.content.equals(page.entries().getOrDefault(name, Optional.empty()))) {
				missing.put(name, cached.content);
			}
		});
		return missing;
	}

	boolean contains(String name) {
		CachedRecord<T> cached = this.records.get(name);
		return cached != null && cached.content.isPresent();
	}

	/**
	 * Returns whether a reply would hold a record that the requesting host does not have.
	 * @param from position of the first record that the requesting host has not read
	 * @return true if there are records to relay
	 */
	boolean hasUpdates(LogPosition from) {
		return from.compareTo(this.oldestDelta) < 0
				|| this.records.values().stream().anyMatch((cached) -> cached.position.compareTo(from) > 0);
	}

	/**
	 * Creates the reply to a request.
	 * @param sequence sequence number of the request
	 * @param from position of the first record that the requesting host has not read
	 * @param arrivedAt reading of the clocks of this host when the request arrived
	 * @param now current reading of the clocks of this host
	 * @return the reply
	 */
	RelayReply answer(long sequence, LogPosition from, Confirmation arrivedAt, Confirmation now) {
		long ageMillis = this.confirmation.ageMillis(arrivedAt.monotonicMillis(), arrivedAt.wallMillis());
		boolean ageKnown = this.confirmation.ageMillis(now.monotonicMillis(),
				now.wallMillis()) != Confirmation.UNKNOWN_AGE_MILLIS;
		if (!this.storeReadable || this.position.equals(LogPosition.NONE) || !ageKnown
				|| ageMillis == Confirmation.UNKNOWN_AGE_MILLIS) {
			return notCurrent(sequence);
		}
		boolean complete = from.compareTo(this.oldestDelta) < 0;
		List<RelayRecord> updates = new ArrayList<>();
		this.records.values().forEach((cached) -> {
			boolean included = complete ? cached.content.isPresent() : cached.position.compareTo(from) > 0;
			if (included) {
				updates.add(cached.relayRecord());
			}
		});
		return new RelayReply(sequence, true, this.position.offset(), ageMillis, complete, updates,
				this.position.epoch(), this.position.settled());
	}

	/**
	 * Returns the reply of a host that cannot guarantee that its records are current.
	 * @param sequence sequence number of the request
	 * @return the reply
	 */
	static RelayReply notCurrent(long sequence) {
		return new RelayReply(sequence, false, 0, 0, false, List.of(), 0, false);
	}

	/**
	 * Result of a merge. Immutable.
	 *
	 * @param <T> type of a decoded record
	 * @param entries records that have changed, by name; empty for a removed or
	 * unreadable one
	 * @param outdated names of records of the page that are older than the known ones
	 */
	record Changes<T>(Map<String, Optional<T>> entries, List<String> outdated) {

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

		/** The latest content that could be decoded; outlives a removal. */
		private final Optional<T> latest;

		/** The encoded record as it is stored. */
		private final byte[] encoded;

		/** Position after the page in which this content was first read. */
		private final LogPosition position;

		/** The record as it is sent to other hosts, created on first use. */
		private RelayRecord relayRecord;

		CachedRecord(String name, Optional<T> content, Optional<T> latest, byte[] encoded, LogPosition position) {
			this.name = name;
			this.content = content;
			this.latest = latest;
			this.encoded = encoded;
			this.position = position;
		}

		boolean isNewerThan(T other, BiPredicate<T, T> older) {
			return this.latest.isPresent() && older.test(other, this.latest.get());
		}

		boolean isOlderThan(Optional<T> other, BiPredicate<T, T> older) {
			return this.latest.isPresent() && other.isPresent() && older.test(this.latest.get(), other.get());
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
