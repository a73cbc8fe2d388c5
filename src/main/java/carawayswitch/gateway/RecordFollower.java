package carawayswitch.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Option;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.route.Confirmation;

/**
 * Follows one kind of record: reads all once, then what is new, for as long as the host
 * lives. What was believed stays in force while the store cannot be read. Confined to the
 * thread of its event loop.
 *
 * @param <T> what a record says
 */
final class RecordFollower<T> {

	/**
	 * Pause after a failed read in milliseconds; bounds calls to a store that refuses.
	 */
	private static final long RETRY_DELAY_MILLIS = 250;

	private static final String STORE = "store";

	private final NioReactor reactor;

	private final RecordSource<T> source;

	private final PollTiming pollTiming;

	private final Consumer<Update<T>> onUpdate;

	private final DecisionLog log;

	private final String kind;

	/** What was read, for other hosts. */
	private final RelayLog<T> relayLog;

	/** The host that has passed the newest records on, or the store. */
	private String currentSource = "";

	private long nextOffset = -1;

	private boolean storeUnavailable;

	private boolean confirming;

	private Confirmation lastConfirmation = Confirmation.NONE;

	RecordFollower(NioReactor reactor, String kind, RecordSource<T> source, PollTiming pollTiming, RelayLog<T> relayLog,
			DecisionLog log, Consumer<Update<T>> onUpdate) {
		this.reactor = reactor;
		this.relayLog = relayLog;
		this.kind = kind;
		this.source = source;
		this.pollTiming = pollTiming;
		this.log = log;
		this.onUpdate = onUpdate;
	}

	void start() {
		read();
	}

	private void read() {
		Confirmation sentAt = Clocks.now();
		boolean complete = this.nextOffset < 0;
		(complete ? this.source.readLatest() : this.source.readFrom(this.nextOffset, this.pollTiming.longPollMillis()))
			.subscribe((page, failure) -> {
				if (failure != null) {
					onFailure(failure);
				}
				else {
					onPage(page, complete, sentAt);
				}
			});
	}

	private void onFailure(Exception failure) {
		if (!this.storeUnavailable) {
			this.storeUnavailable = true;
			this.relayLog.storeReadable(false);
			this.log.write(LogEvent.STORE_LOST, "records", this.kind, "reason", failure.getMessage(), "age_ms",
					this.lastConfirmation.reportedAgeMillis(Clocks.monotonicMillis(), Clocks.wallMillis()));
		}
		scheduleRead(RETRY_DELAY_MILLIS);
	}

	private void onPage(RecordSource.Page<T> page, boolean complete, Confirmation sentAt) {
		if (page.offsetExpired()) {
			this.nextOffset = -1;
			read();
			return;
		}
		long outageMillis = Option
			.when(this.storeUnavailable,
					() -> this.lastConfirmation.ageMillis(sentAt.monotonicMillis(), sentAt.wallMillis()))
			.getOrElse(0L);
		if (this.storeUnavailable) {
			this.storeUnavailable = false;
			this.relayLog.storeReadable(true);
			this.log.write(LogEvent.STORE_REGAINED, "records", this.kind, "outage_ms", outageMillis);
		}
		apply(page, complete, sentAt, outageMillis);
		logSourceChange((page.relay() != null) ? page.relay().host() : STORE);
		scheduleRead((page.relay() != null) ? this.pollTiming.relayedPauseMillis() : this.pollTiming.pauseMillis());
	}

	private void logSourceChange(String source) {
		if (!source.equals(this.currentSource)) {
			this.currentSource = source;
			this.log.write(LogEvent.READ_SOURCE_CHANGED, "records", this.kind, "source", source, "age_ms",
					this.lastConfirmation.reportedAgeMillis(Clocks.monotonicMillis(), Clocks.wallMillis()),
					"next_offset", this.nextOffset);
		}
	}

	private void apply(RecordSource.Page<T> page, boolean completeRead, Confirmation sentAt, long outageMillis) {
		RecordSource.RelayOrigin relay = page.relay();
		Confirmation confirmation = (relay != null) ? sentAt.minus(relay.ageMillis()) : sentAt;
		this.lastConfirmation = this.lastConfirmation.newer(confirmation);
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		boolean complete = (relay != null) ? relay.complete() : completeRead;
		this.relayLog.update(page, complete, this.lastConfirmation);
		this.onUpdate.accept(new Update<>(page.entries(), complete, confirmation, outageMillis));
	}

	/**
	 * Reads at once, beside the reads that go on, because the age of what is believed has
	 * become large or unknown.
	 */
	void confirmNow() {
		if (this.confirming || this.nextOffset < 0) {
			return;
		}
		this.confirming = true;
		Confirmation sentAt = Clocks.now();
		this.source.readFromStore(this.nextOffset).subscribe((page, failure) -> {
			if (failure == null && !page.offsetExpired()) {
				apply(page, false, sentAt, 0);
			}
			// A failure shows in the reads that go on, which log it.
			this.reactor.delayBackground(RETRY_DELAY_MILLIS, () -> this.confirming = false);
		});
	}

	private void scheduleRead(long delayMillis) {
		this.reactor.delayBackground(delayMillis, this::read);
	}

	/**
	 * How often records are read. Immutable.
	 *
	 * @param longPollMillis time that a read waits for a record in milliseconds, or 0
	 * @param pauseMillis pause between two reads of the store in milliseconds
	 * @param relayedPauseMillis pause after a read that another host has answered
	 */
	record PollTiming(long longPollMillis, long pauseMillis, long relayedPauseMillis) {

	}

	/**
	 * What a read has shown. Immutable.
	 *
	 * @param <T> what a record says
	 * @param entries newest record of each key that was read; empty for a removed key
	 * @param complete true if keys that are not named do not exist
	 * @param confirmation when the read was sent
	 * @param outageMillis time for which records could not be read before, in
	 * milliseconds
	 */
	record Update<T>(Map<String, Optional<T>> entries, boolean complete, Confirmation confirmation, long outageMillis) {

	}

}
