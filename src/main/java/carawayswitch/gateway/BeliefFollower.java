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
final class BeliefFollower<T> {

	/**
	 * Pause after a failed read in milliseconds; bounds calls to a store that refuses.
	 */
	private static final long RETRY_MILLIS = 250;

	private static final String STORE = "store";

	private final NioReactor reactor;

	private final BeliefSource<T> source;

	private final Pace pace;

	private final Consumer<Update<T>> onUpdate;

	private final DecisionLog log;

	private final String name;

	/** What was read, for other hosts. */
	private final RelayLog<T> relayLog;

	/** The host that has passed the newest records on, or the store. */
	private String readFrom = "";

	private long nextOffset = -1;

	private boolean failing;

	private boolean confirming;

	private Confirmation confirmed = Confirmation.NONE;

	BeliefFollower(NioReactor reactor, String name, BeliefSource<T> source, Pace pace, RelayLog<T> relayLog,
			DecisionLog log, Consumer<Update<T>> onUpdate) {
		this.reactor = reactor;
		this.relayLog = relayLog;
		this.name = name;
		this.source = source;
		this.pace = pace;
		this.log = log;
		this.onUpdate = onUpdate;
	}

	void start() {
		read();
	}

	private void read() {
		Confirmation sent = Clocks.reading();
		boolean whole = this.nextOffset < 0;
		(whole ? this.source.newest() : this.source.after(this.nextOffset, this.pace.waitMillis()))
			.subscribe((page, failure) -> {
				if (failure != null) {
					onFailure(failure);
				}
				else {
					onPage(page, whole, sent);
				}
			});
	}

	private void onFailure(Exception failure) {
		if (!this.failing) {
			this.failing = true;
			this.relayLog.current(false);
			this.log.write(LogEvent.STORE_LOST, "records", this.name, "reason", failure.getMessage(), "age_ms",
					this.confirmed.shownAge(Clocks.steadyMillis(), Clocks.wallMillis()));
		}
		later(RETRY_MILLIS);
	}

	private void onPage(BeliefSource.Page<T> page, boolean whole, Confirmation sent) {
		if (page.trimmed()) {
			this.nextOffset = -1;
			read();
			return;
		}
		long outage = Option.when(this.failing, () -> this.confirmed.age(sent.steadyMillis(), sent.wallMillis()))
			.getOrElse(0L);
		if (this.failing) {
			this.failing = false;
			this.relayLog.current(true);
			this.log.write(LogEvent.STORE_REGAINED, "records", this.name, "outage_ms", outage);
		}
		apply(page, whole, sent, outage);
		noteSource((page.relay() != null) ? page.relay().host() : STORE);
		later((page.relay() != null) ? this.pace.relayedPauseMillis() : this.pace.pauseMillis());
	}

	private void noteSource(String source) {
		if (!source.equals(this.readFrom)) {
			this.readFrom = source;
			this.log.write(LogEvent.READ_SOURCE_CHANGED, "records", this.name, "source", source, "age_ms",
					this.confirmed.shownAge(Clocks.steadyMillis(), Clocks.wallMillis()), "next_offset",
					this.nextOffset);
		}
	}

	private void apply(BeliefSource.Page<T> page, boolean wholeRead, Confirmation sent, long outage) {
		BeliefSource.Relay relay = page.relay();
		Confirmation confirmation = (relay != null) ? sent.minus(relay.ageMillis()) : sent;
		this.confirmed = this.confirmed.newer(confirmation);
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		boolean whole = (relay != null) ? relay.whole() : wholeRead;
		this.relayLog.update(page, whole, this.confirmed);
		this.onUpdate.accept(new Update<>(page.entries(), whole, confirmation, outage));
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
		Confirmation sent = Clocks.reading();
		this.source.confirmed(this.nextOffset).subscribe((page, failure) -> {
			if (failure == null && !page.trimmed()) {
				apply(page, false, sent, 0);
			}
			// A failure shows in the reads that go on, which log it.
			this.reactor.delayBackground(RETRY_MILLIS, () -> this.confirming = false);
		});
	}

	private void later(long millis) {
		this.reactor.delayBackground(millis, this::read);
	}

	/**
	 * How often records are read. Immutable.
	 *
	 * @param waitMillis time that a read waits for a record in milliseconds, or 0
	 * @param pauseMillis pause between two reads of the store in milliseconds
	 * @param relayedPauseMillis pause after a read that another host has answered
	 */
	record Pace(long waitMillis, long pauseMillis, long relayedPauseMillis) {

	}

	/**
	 * What a read has shown. Immutable.
	 *
	 * @param <T> what a record says
	 * @param entries newest record of each key that was read; empty for a removed key
	 * @param whole true if keys that are not named do not exist
	 * @param confirmation when the read was sent
	 * @param outageMillis time for which records could not be read before, in
	 * milliseconds
	 */
	record Update<T>(Map<String, Optional<T>> entries, boolean whole, Confirmation confirmation, long outageMillis) {

	}

}
