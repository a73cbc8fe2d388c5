package carawayswitch.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;

/**
 * Records the use of caps in the store while this host owns the pools, and reads the
 * record of an earlier owner when it takes them. The record is needed after a loss of all
 * hosts, when no host can report its earlier use. Invariant: an owner replaces a record
 * only after it has read it, or once the record has left the window. Confined to the
 * event loop thread.
 */
final class CapUseRecorder {

	/** Time in milliseconds between two records. */
	static final long INTERVAL_MILLIS = 1000;

	/**
	 * Time in milliseconds from the start of ownership to the read, and between two looks
	 * whether caps are known. Each host owns the pools for a moment while a fleet starts
	 * and need not read, and without a configuration the store may be down: hosts must
	 * not add calls to it then.
	 */
	static final long READ_DELAY_MILLIS = 100;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final OrganisationCaps caps;

	private final long windowMillis;

	/** Monotonic time in milliseconds at which the process started. */
	private final long startedAt;

	private CapUseStore store;

	/** Number of the present ownership, or of the last one. */
	private int ownership;

	private boolean owner;

	private boolean mayRecord;

	private boolean publishing;

	private boolean failureLogged;

	private Map<String, List<Long>> lastUnits = Map.of();

	CapUseRecorder(NioReactor reactor, DecisionLog log, OrganisationCaps caps, long windowMillis, long startedAt) {
		this.reactor = reactor;
		this.log = log;
		this.caps = caps;
		this.windowMillis = windowMillis;
		this.startedAt = startedAt;
	}

	/**
	 * Starts the recorder.
	 * @param capUseStore store of the record
	 */
	void start(CapUseStore capUseStore) {
		this.store = capUseStore;
		RepeatedTask.start(this.reactor, INTERVAL_MILLIS, () -> record(Clocks.monotonicMillis()));
	}

	/**
	 * Handles that this host has taken the ownership of the pools. A process that is
	 * older than a window knows its own use and gets reports of others.
	 * @param now monotonic time in milliseconds
	 */
	void begin(long now) {
		this.owner = true;
		this.ownership++;
		this.mayRecord = now - this.startedAt >= this.windowMillis;
		if (!this.mayRecord) {
			int current = this.ownership;
			this.reactor.delayBackground(READ_DELAY_MILLIS, () -> read(current));
			this.reactor.delayBackground(this.windowMillis, () -> this.mayRecord |= isCurrent(current));
		}
	}

	/** Handles that another host owns the pools. */
	void resign() {
		this.owner = false;
		this.mayRecord = false;
	}

	private boolean isCurrent(int expectedOwnership) {
		return this.owner && this.ownership == expectedOwnership;
	}

	private void read(int expectedOwnership) {
		if (!isCurrent(expectedOwnership) || this.mayRecord) {
			return;
		}
		if (!this.caps.inUse()) {
			this.reactor.delayBackground(READ_DELAY_MILLIS, () -> read(expectedOwnership));
			return;
		}
		this.store.readCapUse().whenResult((use) -> {
			if (isCurrent(expectedOwnership)) {
				this.mayRecord = true;
				use.ifPresent((found) -> apply(found, Clocks.wallMillis(), Clocks.monotonicMillis()));
			}
		}).whenException((failure) -> this.reactor.delayBackground(INTERVAL_MILLIS / 4, () -> read(expectedOwnership)));
	}

	// An owner may have granted for an interval after its record, whatever the clocks of
	// the two hosts say.
	private void apply(CapUse use, long wallMillis, long now) {
		long age = Math.max(INTERVAL_MILLIS, wallMillis - use.recordedAtWallMillis());
		boolean applied = this.caps.applyRecord(use, age, now);
		this.log.write(LogEvent.CAP_USE_READ, "age_ms", age, "organisations", use.units().size(), "applied", applied);
	}

	private void record(long now) {
		if (!this.mayRecord || this.publishing) {
			return;
		}
		Optional<Map<String, List<Long>>> units = this.caps.unitsToRecord(now);
		if (units.isEmpty() || units.get().equals(this.lastUnits)) {
			return;
		}
		this.publishing = true;
		this.store.publishCapUse(new CapUse(Clocks.wallMillis(), units.get())).whenComplete((result, failure) -> {
			this.publishing = false;
			if (failure == null) {
				this.lastUnits = units.get();
			}
			else if (!this.failureLogged) {
				this.log.write(LogEvent.STORE_LOST, "records", "cap_use", "reason", failure.getMessage());
			}
			this.failureLogged = failure != null;
		});
	}

}
