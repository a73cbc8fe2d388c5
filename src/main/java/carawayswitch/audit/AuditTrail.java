package carawayswitch.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.vavr.control.Option;

import carawayswitch.message.AuditBatch;
import carawayswitch.message.AuditEntry;

/**
 * Collects audit entries for group commits to the log. Invariant: an entry is either in
 * the buffer, in a batch that was handed out, or counted as lost. Safe for use by several
 * threads.
 */
public final class AuditTrail {

	/** Entries that are kept while the log is down. */
	static final int MAX_BUFFERED_ENTRIES = 5000;

	/** Most entries of one batch. */
	static final int MAX_BATCH_ENTRIES = 500;

	private final String host;

	private final Deque<AuditEntry> buffer = new ArrayDeque<>();

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
	 * Adds an entry. When the buffer is full the oldest entry is dropped and counted.
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
	 * Adds an entry about something that the system did by itself.
	 * @param atMillis time in milliseconds since the epoch
	 * @param action name of the action
	 * @param subject what the action was applied to
	 * @param after state after the action
	 */
	public void addSystemEntry(long atMillis, String action, String subject, String after) {
		add(new AuditEntry(atMillis, "system", action, subject, "", after, "", "accepted"));
	}

	/**
	 * Takes the next batch. The same batch is handed out again until it is confirmed, so
	 * that a lost answer of the log may repeat a batch but never loses one.
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
	 * Records that the log confirmed the batch that was handed out.
	 */
	public synchronized void confirmBatch() {
		this.unconfirmedBatch = null;
	}

	/**
	 * Returns the number of entries that were dropped.
	 * @return number of entries
	 */
	public synchronized long droppedEntries() {
		return this.totalDropped;
	}

}
