package carawayswitch.host;

import java.util.ArrayList;
import java.util.List;

import io.activej.promise.Promise;
import io.vavr.control.Option;

import carawayswitch.config.ConfigurationHolder;
import carawayswitch.config.ConfigurationState;
import carawayswitch.log.LogEvent;
import carawayswitch.message.ConfigurationSnapshot;
import carawayswitch.message.LogRecord;
import carawayswitch.message.MessageCodec;
import carawayswitch.message.RecordsReply;
import carawayswitch.message.RecordsRequest;
import carawayswitch.platform.LogService;

/**
 * Follows the configuration log and keeps the configuration up to date. Requests records
 * from peers that are ahead, for the case that the log is unreachable. The offset never
 * decreases. Confined to the control thread.
 */
final class LogFollower {

	static final int PAGE_RECORDS = 500;

	private static final long MIN_PEER_REQUEST_INTERVAL_MILLIS = 200;

	private final ConfigurationHolder holder;

	private final LogService log;

	private final Runnable onAdvanced;

	private boolean polling;

	private boolean failing;

	private boolean hasReadLog;

	private long snapshotOffset = -1;

	private long snapshotSeenAt;

	private long lastPeerRequestAt;

	LogFollower(ConfigurationHolder holder, LogService log, Runnable onAdvanced) {
		this.holder = holder;
		this.log = log;
		this.onAdvanced = onAdvanced;
	}

	void poll(long now) {
		if (this.polling) {
			return;
		}
		this.polling = true;
		long from = this.holder.state().offset() + 1;
		this.log.read(LogService.CONFIGURATION_STREAM, from, PAGE_RECORDS).then((page) -> {
			boolean gap = page.firstOffset() > from;
			return gap ? readAndRestore(page.firstOffset(), page.nextOffset(), new ArrayList<>(), now)
					: applyRecords(page.records(), now);
		}).subscribe((advanced, failure) -> {
			this.polling = false;
			onResult(failure);
			if (Boolean.TRUE.equals(advanced)) {
				poll(now);
			}
		});
	}

	private void onResult(Exception failure) {
		if (failure != null && !this.failing) {
			LogEvent.PLATFORM_LOG_FAILED.log("reason", failure);
		}
		if (failure == null && this.failing) {
			LogEvent.PLATFORM_LOG_RECOVERED.log("offset", this.holder.state().offset());
		}
		this.failing = failure != null;
		this.hasReadLog |= failure == null;
	}

	private Promise<Boolean> applyRecords(List<LogRecord> records, long now) {
		records.forEach((logRecord) -> recordSnapshot(logRecord, now));
		int appliedCount = this.holder.fold(records);
		if (appliedCount > 0) {
			LogEvent.CONFIGURATION_ADVANCED.log("offset", this.holder.state().offset());
			this.onAdvanced.run();
		}
		return Promise.of(appliedCount == PAGE_RECORDS);
	}

	private void recordSnapshot(LogRecord logRecord, long now) {
		if (MessageCodec.decode(ConfigurationSnapshot.class, logRecord.payload()).isDefined()) {
			this.snapshotOffset = logRecord.offset();
			this.snapshotSeenAt = now;
		}
	}

	private Promise<Boolean> readAndRestore(long first, long next, List<LogRecord> collected, long now) {
		long from = collected.isEmpty() ? first : collected.get(collected.size() - 1).offset() + 1;
		if (from >= next) {
			return Promise.of(restoreNewestSnapshot(collected, now));
		}
		return this.log.read(LogService.CONFIGURATION_STREAM, from, PAGE_RECORDS).then((page) -> {
			collected.addAll(page.records());
			return page.records().isEmpty() ? Promise.of(restoreNewestSnapshot(collected, now))
					: readAndRestore(first, next, collected, now);
		});
	}

	private boolean restoreNewestSnapshot(List<LogRecord> records, long now) {
		Option<ConfigurationSnapshot> newest = Option.none();
		for (LogRecord logRecord : records) {
			recordSnapshot(logRecord, now);
			newest = MessageCodec.decode(ConfigurationSnapshot.class, logRecord.payload()).orElse(newest);
		}
		boolean restored = newest.isDefined() && this.holder.restore(newest.get());
		if (restored) {
			this.holder.fold(records);
			this.onAdvanced.run();
		}
		return restored;
	}

	/**
	 * Returns whether a snapshot of the configuration is due.
	 * @param records number of records since the newest snapshot after which a new one is
	 * due
	 * @param ageMillis age of the newest snapshot in milliseconds after which a new one
	 * is due, if there are new records
	 * @param now monotonic time in milliseconds
	 * @return true if a snapshot should be written
	 */
	boolean snapshotDue(long records, long ageMillis, long now) {
		long offset = this.holder.state().offset();
		boolean hasNewRecords = offset > this.snapshotOffset;
		boolean recordCountReached = offset - this.snapshotOffset >= records;
		boolean ageReached = hasNewRecords && now - this.snapshotSeenAt >= ageMillis;
		return this.hasReadLog && !this.failing && offset >= 0 && (recordCountReached || ageReached);
	}

	Option<RecordsRequest> requestFromPeer(long peerOffset, long now) {
		long ownOffset = this.holder.state().offset();
		if (peerOffset <= ownOffset || now - this.lastPeerRequestAt < MIN_PEER_REQUEST_INTERVAL_MILLIS) {
			return Option.none();
		}
		this.lastPeerRequestAt = now;
		return Option.of(new RecordsRequest(ownOffset + 1));
	}

	RecordsReply onRecordsRequest(RecordsRequest request) {
		ConfigurationState state = this.holder.state();
		List<LogRecord> records = this.holder.recordsFrom(request.fromOffset(), PAGE_RECORDS);
		if (!records.isEmpty() || request.fromOffset() > state.offset()) {
			return new RecordsReply(-1, new byte[0], records);
		}
		return new RecordsReply(state.offset(), MessageCodec.encode(state.snapshot()), List.of());
	}

	void onRecordsReply(RecordsReply reply, long now) {
		boolean restored = reply.snapshotOffset() >= 0
				&& MessageCodec.decode(ConfigurationSnapshot.class, reply.snapshot())
					.map(this.holder::restore)
					.getOrElse(false);
		if (restored) {
			this.onAdvanced.run();
		}
		applyRecords(reply.records(), now);
	}

	boolean failing() {
		return this.failing;
	}

	boolean hasReadLog() {
		return this.hasReadLog;
	}

}
