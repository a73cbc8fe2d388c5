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
 * Keeps the configuration up to date from the log, and from peers when the log cannot be
 * reached. The offset never decreases. Confined to the control thread.
 */
final class LogFollower {

	static final int PAGE_RECORDS = 500;

	private static final long PEER_REQUEST_MILLIS = 200;

	private final ConfigurationHolder holder;

	private final LogService log;

	private final Runnable onAdvanced;

	private boolean polling;

	private boolean failing;

	private boolean reached;

	private long snapshotOffset = -1;

	private long snapshotSeenAt;

	private long askedPeerAt;

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
			return gap ? restore(page.firstOffset(), page.nextOffset(), new ArrayList<>(), now)
					: fold(page.records(), now);
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
		this.reached |= failure == null;
	}

	private Promise<Boolean> fold(List<LogRecord> records, long now) {
		records.forEach((logRecord) -> noteSnapshot(logRecord, now));
		int folded = this.holder.fold(records);
		if (folded > 0) {
			LogEvent.CONFIGURATION_ADVANCED.log("offset", this.holder.state().offset());
			this.onAdvanced.run();
		}
		return Promise.of(folded == PAGE_RECORDS);
	}

	private void noteSnapshot(LogRecord logRecord, long now) {
		if (MessageCodec.decode(ConfigurationSnapshot.class, logRecord.payload()).isDefined()) {
			this.snapshotOffset = logRecord.offset();
			this.snapshotSeenAt = now;
		}
	}

	private Promise<Boolean> restore(long first, long next, List<LogRecord> collected, long now) {
		long from = collected.isEmpty() ? first : collected.get(collected.size() - 1).offset() + 1;
		if (from >= next) {
			return Promise.of(restoreFrom(collected, now));
		}
		return this.log.read(LogService.CONFIGURATION_STREAM, from, PAGE_RECORDS).then((page) -> {
			collected.addAll(page.records());
			return page.records().isEmpty() ? Promise.of(restoreFrom(collected, now))
					: restore(first, next, collected, now);
		});
	}

	private boolean restoreFrom(List<LogRecord> records, long now) {
		Option<ConfigurationSnapshot> newest = Option.none();
		for (LogRecord logRecord : records) {
			noteSnapshot(logRecord, now);
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
	 * Decides whether a snapshot is due.
	 * @param records number of records after which a snapshot is due
	 * @param ageMillis age in milliseconds after which a snapshot is due
	 * @param now monotonic time in milliseconds
	 * @return true if a snapshot should be written
	 */
	boolean snapshotDue(long records, long ageMillis, long now) {
		long offset = this.holder.state().offset();
		boolean unsaved = offset > this.snapshotOffset;
		boolean many = offset - this.snapshotOffset >= records;
		boolean old = unsaved && now - this.snapshotSeenAt >= ageMillis;
		return this.reached && !this.failing && offset >= 0 && (many || old);
	}

	Option<RecordsRequest> requestFromPeer(long peerOffset, long now) {
		long own = this.holder.state().offset();
		if (peerOffset <= own || now - this.askedPeerAt < PEER_REQUEST_MILLIS) {
			return Option.none();
		}
		this.askedPeerAt = now;
		return Option.of(new RecordsRequest(own + 1));
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
		fold(reply.records(), now);
	}

	boolean failing() {
		return this.failing;
	}

	boolean reached() {
		return this.reached;
	}

}
