package carawayswitch.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.route.Confirmation;

/**
 * Keeps the records of one kind up to date: reads all records once, then polls for new
 * ones for the lifetime of the host. Cached records stay active while the store cannot be
 * read, and while a store that was restored from an older copy may lack them: all records
 * are then read anew, once at once and once when their authors have written them again.
 * Confined to the thread of its event loop.
 *
 * @param <T> type of a decoded record
 */
final class RecordFollower<T> implements StoreEpoch.Listener {

	/**
	 * Delay before a failed read is repeated, in milliseconds; limits the call rate to a
	 * store that rejects requests.
	 */
	private static final long RETRY_DELAY_MILLIS = 250;

	private static final String STORE = "store";

	private final NioReactor reactor;

	private final RecordSource<T> source;

	private final PollTiming pollTiming;

	private final Consumer<Update<T>> onUpdate;

	private final DecisionLog log;

	private final Kind<T> kind;

	/** Records of this kind, relayed to other hosts. */
	private final RelayLog<T> relayLog;

	private final StoreEpoch storeEpoch;

	/** Id of the host that relayed the latest page, or {@link #STORE}. */
	private String currentSource = "";

	private LogPosition position = LogPosition.NONE;

	/** Whether all records have to be read anew. */
	private boolean completeReadDue = true;

	/** Number of the latest regular read. The results of earlier ones are ignored. */
	private long latestRead;

	private boolean storeUnavailable;

	private boolean confirming;

	private Confirmation lastConfirmation = Confirmation.NONE;

	/** Listener for the end of the first reads; null before the start. */
	private FirstReadListener firstRead;

	/** Whether a regular read is in progress. */
	private boolean reading;

	/** Whether the first read is over, so that this follower times its reads itself. */
	private boolean following;

	RecordFollower(NioReactor reactor, Kind<T> kind, RecordSource<T> source, PollTiming pollTiming,
			RelayLog<T> relayLog, StoreEpoch storeEpoch, DecisionLog log, Consumer<Update<T>> onUpdate) {
		this.reactor = reactor;
		this.relayLog = relayLog;
		this.storeEpoch = storeEpoch;
		this.kind = kind;
		this.source = source;
		this.pollTiming = pollTiming;
		this.log = log;
		this.onUpdate = onUpdate;
	}

	/**
	 * Reads all records for the first time, and follows them once that has succeeded. Is
	 * called again if it has not.
	 * @param listener receives the end of each call
	 */
	void start(FirstReadListener listener) {
		if (this.firstRead == null) {
			this.storeEpoch.addListener(this);
		}
		this.firstRead = listener;
		read();
	}

	private void read() {
		long number = ++this.latestRead;
		this.reading = true;
		ReadContext context = new ReadContext(Clocks.now(), this.position, this.completeReadDue,
				this.storeEpoch.settledEpoch());
		(context.complete() ? this.source.readLatest()
				: this.source.readFrom(this.position, this.pollTiming.longPollMillis()))
			.subscribe((page, failure) -> {
				if (number != this.latestRead) {
					return;
				}
				this.reading = false;
				if (failure != null) {
					onFailure(failure);
					return;
				}
				try {
					onPage(page, context);
				}
				catch (RuntimeException ex) {
					LogEvent.INTERNAL_ERROR.log("records", this.kind.name(), "reason", ex, "at",
							(ex.getStackTrace().length > 0) ? ex.getStackTrace()[0] : "");
					// The first records must be handed over before changes are awaited.
					this.completeReadDue |= !this.following;
					scheduleRetry();
				}
			});
	}

	/**
	 * Reads at once in place of a regular read that is in progress or scheduled. Does
	 * nothing while the first read has yet to be started or started again.
	 */
	void readAgain() {
		if (this.reading || this.following) {
			read();
		}
	}

	private void scheduleRetry() {
		if (this.following) {
			scheduleRead(RETRY_DELAY_MILLIS);
		}
		else {
			this.firstRead.onEnd(false);
		}
	}

	private void readAnew() {
		this.completeReadDue = true;
		read();
	}

	@Override
	public void onEpoch(long epoch) {
		if (!this.completeReadDue && epoch > this.position.epoch()) {
			readAnew();
		}
	}

	// A host that reads through a relay gets all records from it once the relay regards
	// the epoch as settled.
	@Override
	public void onSettled(long epoch) {
		if (!this.completeReadDue && this.currentSource.equals(STORE) && settledUnread()) {
			readAnew();
		}
	}

	private boolean settledUnread() {
		return !this.position.settled() && this.storeEpoch.isSettled(this.position.epoch());
	}

	private void onFailure(Exception failure) {
		if (!this.storeUnavailable) {
			this.storeUnavailable = true;
			this.relayLog.storeReadable(false);
			this.log.write(LogEvent.STORE_LOST, "records", this.kind.name(), "reason", failure.getMessage(), "age_ms",
					this.lastConfirmation.reportedAgeMillis(Clocks.monotonicMillis(), Clocks.wallMillis()));
		}
		scheduleRetry();
	}

	private void onPage(RecordSource.Page<T> page, ReadContext context) {
		long outageMillis = outageMillis(context.sentAt());
		if (this.storeUnavailable) {
			this.storeUnavailable = false;
			this.relayLog.storeReadable(true);
			this.log.write(LogEvent.STORE_REGAINED, "records", this.kind.name(), "outage_ms",
					(outageMillis != Confirmation.UNKNOWN_AGE_MILLIS) ? outageMillis : -1);
		}
		if (!merge(page, context, outageMillis)) {
			readAnew();
			this.storeEpoch.onRead(page.next().epoch());
			return;
		}
		logSourceChange((page.relay() != null) ? page.relay().host() : STORE);
		scheduleRead(pauseMillis(page));
		this.storeEpoch.onRead(page.next().epoch());
		if (page.next().settled()) {
			this.storeEpoch.onSettled(page.next().epoch());
		}
		if (page.relay() == null && settledUnread()) {
			readAnew();
		}
		if (!this.following) {
			this.following = true;
			this.firstRead.onEnd(true);
		}
	}

	// Of a record that was never read nothing can have been missed. The length is
	// unknown, and counts as long, if the wall clock has stepped back or if no read has
	// reached the end of the log.
	private long outageMillis(Confirmation sentAt) {
		boolean neverRead = this.position.equals(LogPosition.NONE);
		return (this.storeUnavailable && !neverRead)
				? this.lastConfirmation.ageMillis(sentAt.monotonicMillis(), sentAt.wallMillis()) : 0;
	}

	private long pauseMillis(RecordSource.Page<T> page) {
		if (!page.upToDate()) {
			return 0;
		}
		return (page.relay() != null) ? this.pollTiming.relayedPauseMillis() : this.pollTiming.pauseMillis();
	}

	// Merges a page, or returns false if it does not follow on from the latest position,
	// so that all records have to be read anew.
	private boolean merge(RecordSource.Page<T> page, ReadContext context, long outageMillis) {
		boolean relayed = page.relay() != null;
		boolean complete = relayed ? page.relay().complete() : context.complete();
		boolean settled = this.position.settled();
		if (relayed) {
			settled = page.next().settled() || StoreEpoch.isFirst(page.next().epoch());
		}
		else if (complete) {
			settled = page.next().epoch() <= context.settledEpoch();
		}
		LogPosition next = page.next().withSettled(settled);
		boolean outdated = next.earlierPhase(this.position) || !complete && !context.from().samePhase(this.position);
		if (outdated) {
			// The read was sent before a restore of the store was noticed.
			return true;
		}
		boolean followsOn = complete || next.samePhase(this.position);
		if (page.offsetExpired() || !followsOn) {
			return false;
		}
		apply(page, next, complete, confirmation(page, context), outageMillis);
		return true;
	}

	// Time as of which a page tells the state of the store. A page that does not reach
	// the end of the log tells an earlier state, of unknown age.
	private Confirmation confirmation(RecordSource.Page<T> page, ReadContext context) {
		if (!page.upToDate()) {
			return Confirmation.NONE;
		}
		return (page.relay() != null) ? context.sentAt().minus(page.relay().ageMillis()) : context.sentAt();
	}

	private void logSourceChange(String source) {
		if (!source.equals(this.currentSource)) {
			this.currentSource = source;
			this.log.write(LogEvent.READ_SOURCE_CHANGED, "records", this.kind.name(), "source", source, "age_ms",
					this.lastConfirmation.reportedAgeMillis(Clocks.monotonicMillis(), Clocks.wallMillis()), "epoch",
					this.position.epoch(), "next_offset", this.position.offset());
		}
	}

	private void apply(RecordSource.Page<T> page, LogPosition next, boolean complete, Confirmation confirmation,
			long outageMillis) {
		boolean relayed = page.relay() != null;
		LogPosition before = this.position;
		boolean newPhase = !next.samePhase(before);
		boolean rereadAfterRestore = complete && newPhase && !before.equals(LogPosition.NONE);
		this.lastConfirmation = this.lastConfirmation.newer(confirmation);
		this.position = (newPhase || next.compareTo(before) > 0) ? next : before;
		this.completeReadDue &= !complete;
		PageMerge merge = complete ? mergeOfComplete(next.settled(), relayed || !newPhase) : PageMerge.CHANGES;
		RelayLog.Changes<T> changes = this.relayLog.update(page, this.position, merge, this.lastConfirmation);
		Map<String, Optional<T>> lost = (rereadAfterRestore && !relayed) ? this.relayLog.missingFrom(page) : Map.of();
		if (rereadAfterRestore) {
			this.log.write(LogEvent.RECORDS_REREAD, "records", this.kind.name(), "epoch_before", before.epoch(),
					"offset_before", before.offset(), "epoch", next.epoch(), "offset", next.offset(), "settled",
					next.settled(), "changed", changes.entries().size(), "lost", lost.size());
		}
		if (!changes.outdated().isEmpty()) {
			this.log.write(LogEvent.RECORD_OLDER, "records", this.kind.name(), "names",
					String.join(",", changes.outdated()), "epoch", next.epoch(), "settled", next.settled());
		}
		this.onUpdate.accept(new Update<>(changes.entries(), next.settled() ? confirmation : Confirmation.NONE,
				outageMillis, rereadAfterRestore, next.settled(), lost, this.position));
	}

	private PageMerge mergeOfComplete(boolean settled, boolean authoritative) {
		if (!settled) {
			return PageMerge.OLDER_COPY;
		}
		if (authoritative) {
			return PageMerge.ALL;
		}
		return this.kind.writtenByHosts() ? PageMerge.OLDER_COPY : PageMerge.SETTLED_COPY;
	}

	/**
	 * Sends an additional read to the store at once, in parallel to the regular reads,
	 * because the age of the cached records has become large or unknown. Does nothing
	 * while such a read is in progress, shortly after it, or while all records have to be
	 * read anew.
	 */
	void confirmNow() {
		if (this.confirming || this.completeReadDue) {
			return;
		}
		this.confirming = true;
		ReadContext context = new ReadContext(Clocks.now(), this.position, false, this.storeEpoch.settledEpoch());
		this.source.readFromStore(this.position).subscribe((page, failure) -> {
			// A store that fails here also fails the regular reads, which log it.
			if (failure == null && !merge(page, context, 0) && !this.completeReadDue) {
				readAnew();
			}
			if (failure == null) {
				this.storeEpoch.onRead(page.next().epoch());
			}
			if (failure == null && !page.offsetExpired() && !page.upToDate()) {
				this.confirming = false;
				confirmNow();
				return;
			}
			this.reactor.delayBackground(RETRY_DELAY_MILLIS, () -> this.confirming = false);
		});
	}

	boolean knows(String name) {
		return this.relayLog.contains(name);
	}

	private void scheduleRead(long delayMillis) {
		long number = this.latestRead;
		this.reactor.delayBackground(delayMillis, () -> {
			if (number == this.latestRead) {
				read();
			}
		});
	}

	/**
	 * Receives the end of the first reads. Called on the event loop thread.
	 */
	interface FirstReadListener {

		/**
		 * Called when a first read has ended.
		 * @param successful whether the records are read; if not, the reader waits to be
		 * started again
		 */
		void onEnd(boolean successful);

	}

	/**
	 * Timing of the reads. Immutable.
	 *
	 * @param longPollMillis time for which the store holds a read open until a record
	 * arrives, in milliseconds; 0 for an immediate answer
	 * @param pauseMillis pause between two reads of the store in milliseconds
	 * @param relayedPauseMillis pause after a read that another host has answered, in
	 * milliseconds
	 */
	record PollTiming(long longPollMillis, long pauseMillis, long relayedPauseMillis) {

	}

	/**
	 * A kind of records. Immutable.
	 *
	 * @param <T> type of a decoded record
	 * @param name name of the kind, the same on all hosts
	 * @param older whether the first of two records of one name is older than the second
	 * by its own version; false if records of this kind have none
	 * @param writtenByHosts true if the gateway hosts write these records, and so have to
	 * write again what a restore of the store has lost
	 */
	record Kind<T>(String name, BiPredicate<T, T> older, boolean writtenByHosts) {

	}

	/**
	 * What was known when a read was sent. Immutable.
	 *
	 * @param sentAt reading of both clocks
	 * @param from position from which changes are read
	 * @param complete true if all records are read
	 * @param settledEpoch latest epoch of the store that had settled
	 */
	private record ReadContext(Confirmation sentAt, LogPosition from, boolean complete, long settledEpoch) {

	}

	/**
	 * Result of a read. Immutable.
	 *
	 * @param <T> type of a decoded record
	 * @param entries records that have changed, by name; empty for a removed or
	 * unreadable one
	 * @param confirmation time as of which the records are confirmed: when the read was
	 * sent, less the age that a relaying host has reported; {@link Confirmation#NONE} if
	 * not settled or if the read did not reach the end of the log
	 * @param outageMillis time for which records could not be read before this read, in
	 * milliseconds; 0 if the previous read succeeded or if this is the first one, and
	 * {@link Confirmation#UNKNOWN_AGE_MILLIS} if it is not known
	 * @param restored true if all records were read anew since the store was restored
	 * from an older copy
	 * @param settled false while the store may lack records that it had acknowledged
	 * before it was restored
	 * @param lost known records that the restored store does not have, by name; empty for
	 * a removed one that it still has
	 * @param position position of the next record to read
	 */
	record Update<T>(Map<String, Optional<T>> entries, Confirmation confirmation, long outageMillis, boolean restored,
			boolean settled, Map<String, Optional<T>> lost, LogPosition position) {

	}

}
