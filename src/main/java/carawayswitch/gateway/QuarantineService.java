package carawayswitch.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.schedule.PromptQuarantine;
import carawayswitch.schedule.QuarantineRule;

/**
 * Keeps the quarantine rules of this host and the stored ones the same: stores the
 * changes that this host has made, repeats calls that failed, and applies the changes of
 * other hosts. Invariant: a change of this host that is not stored yet is not overwritten
 * by an older stored one. Confined to the event loop thread.
 */
final class QuarantineService {

	/** Delay before a failed call is repeated, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 500;

	private final NioReactor reactor;

	private final PromptQuarantine quarantine;

	private final QuarantineStore store;

	private final DecisionLog log;

	/** Changes that are not stored yet, by name; empty for a withdrawn rule. */
	private final Map<String, Optional<QuarantineRule>> pending = new HashMap<>();

	QuarantineService(NioReactor reactor, PromptQuarantine quarantine, QuarantineStore store, DecisionLog log) {
		this.reactor = reactor;
		this.quarantine = quarantine;
		this.store = store;
		this.log = log;
		quarantine.listener(this::onChanged);
	}

	private void onChanged(String name, Optional<QuarantineRule> rule, String reason) {
		this.log.write(LogEvent.QUARANTINE_CHANGED, "rule", name, "reason", reason, "segments",
				rule.map((made) -> String.join(",", made.segments())).orElse(""), "duration_ms",
				rule.map(QuarantineRule::durationMillis).orElse(0L));
		this.pending.put(name, rule);
		store(name, rule);
	}

	private void store(String name, Optional<QuarantineRule> rule) {
		Promise<Void> stored = rule
			.map((made) -> this.store
				.publishRule(QuarantineRecord.of(made, Clocks.monotonicMillis(), Clocks.wallMillis())))
			.orElseGet(() -> this.store.removeRule(name));
		stored.subscribe((done, failure) -> {
			if (failure == null) {
				this.pending.remove(name, rule);
				return;
			}
			this.log.write(LogEvent.STORE_LOST, "records", "quarantine_rule", "reason", failure.getMessage());
			this.reactor.delayBackground(RETRY_DELAY_MILLIS, () -> {
				if (rule.equals(this.pending.get(name))) {
					store(name, rule);
				}
			});
		});
	}

	/**
	 * Applies rules that were read from the store.
	 * @param records rules that have changed, by name; empty for a removed one
	 * @param now monotonic time in milliseconds
	 */
	void onRules(Map<String, Optional<QuarantineRecord>> records, long now) {
		records.forEach((name, entry) -> {
			if (this.pending.containsKey(name)) {
				return;
			}
			entry.ifPresentOrElse((present) -> this.quarantine.add(present.rule(now, Clocks.wallMillis()), now),
					() -> this.quarantine.remove(name));
		});
		this.quarantine.removeForgotten(now).forEach((name) -> onChanged(name, Optional.empty(), "forgotten"));
	}

}
