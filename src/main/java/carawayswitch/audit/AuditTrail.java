package carawayswitch.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.vavr.control.Option;

import carawayswitch.message.AuditBatch;
import carawayswitch.message.AuditEntry;

/**
 * Bounded buffer of audit entries, which are committed to the log in batches. Invariant:
 * an entry that is not yet in the log is in the buffer, in the unconfirmed batch, or
 * counted as dropped. Thread-safe.
 */
public final class AuditTrail {

	/** Maximum number of entries that are buffered while the log is unavailable. */
	static final int MAX_BUFFERED_ENTRIES = 5000;

	/** Maximum number of entries in one batch. */
	static final int MAX_BATCH_ENTRIES = 500;

	private final String host;

	private final Deque<AuditEntry> buffer = new ArrayDeque<>();

	/** Entries dropped since the last batch was created; the next batch reports them. */
	private long unreportedDrops;

	private long totalDropped;

	private AuditBatch unconfirmedBatch;

	/**
	 * Creates an empty trail.
	 * @param host id of this host
	 */
	public AuditTrail(String host) {
		this.host = host;
	}

	/**
	 * Adds an entry. If the buffer is full, the oldest entry is dropped and counted.
	 * @param entry the entry
	 */
	public synchronized void add(AuditEntry entry) {
		this.buffer.addLast(entry);
		if (this.buffer.size() > MAX_BUFFERED_ENTRIES) {
			this.buffer.removeFirst();
			this.unreportedDrops++;
			this.totalDropped++;
		}
	}

	/**
	 * Adds an entry for an action of the system, as opposed to one of an operator.
	 * @param atMillis time of the action in milliseconds since the epoch
	 * @param action name of the action
	 * @param subject object of the action
	 * @param after state of the object after the action
	 */
	public void addSystemEntry(long atMillis, String action, String subject, String after) {
		add(new AuditEntry(atMillis, "system", action, subject, "", after, "", "accepted"));
	}

	/**
	 * Returns the next batch. The same batch is returned until it is confirmed
	 * (at-least-once delivery): if an answer of the log is lost, a batch may be repeated
	 * but is never lost.
	 * @return the batch, or nothing if there are no entries
	 */
	public synchronized Option<AuditBatch> nextBatch() {
		if (this.unconfirmedBatch == null && !this.buffer.isEmpty()) {
			List<AuditEntry> entries = new ArrayList<>();
			while (!this.buffer.isEmpty() && entries.size() < MAX_BATCH_ENTRIES) {
				entries.add(this.buffer.removeFirst());
			}
			this.unconfirmedBatch = new AuditBatch(this.host, this.unreportedDrops, entries);
			this.unreportedDrops = 0;
		}
		return Option.of(this.unconfirmedBatch);
	}

	/**
	 * Records that the log confirmed the last returned batch.
	 */
	public synchronized void confirmBatch() {
		this.unconfirmedBatch = null;
	}

	/**
	 * Returns the total number of entries that were dropped because the buffer was full.
	 * @return the number of dropped entries
	 */
	public synchronized long droppedEntries() {
		return this.totalDropped;
	}

}
