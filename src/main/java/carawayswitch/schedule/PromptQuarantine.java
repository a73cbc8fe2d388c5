package carawayswitch.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Quarantine rules in force on this host. Invariant: a rule that an answer has refuted is
 * no longer in force. Times are milliseconds on the clock of this host. Not safe for use
 * by several threads.
 *
 * <pre>
 * quarantine.add(rule);
 * quarantine.rejects(List.of("5c1e07a2", "91bd3f06"), now);
 * </pre>
 */
public final class PromptQuarantine {

	/** Most rules that are kept; the oldest are evicted. */
	static final int MAX_RULES = 1000;

	private final Map<String, Entry> entries = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
			return size() > MAX_RULES;
		}
	};

	private Listener listener = (name, rule, reason) -> {
	};

	/**
	 * Sets the listener to changes that follow from evidence of this host.
	 * @param newListener the listener
	 */
	public void listener(Listener newListener) {
		this.listener = newListener;
	}

	/**
	 * Returns the time for which requests with a prompt are rejected.
	 * @param segments segments of the prompt without the last one
	 * @param now time in milliseconds
	 * @return time until the rules that match the prompt expire, or 0 if none does
	 */
	public long rejectedMillis(Collection<String> segments, long now) {
		long millis = 0;
		if (!segments.isEmpty()) {
			for (Entry entry : this.entries.values()) {
				if (entry.rule.matches(segments)) {
					millis = Math.max(millis, entry.rule.expiresAt() - now);
				}
			}
		}
		return millis;
	}

	/**
	 * Returns whether requests with a prompt are rejected.
	 * @param segments segments of the prompt without the last one
	 * @param now time in milliseconds
	 * @return true if a rule that has not expired matches the prompt
	 */
	public boolean rejects(Collection<String> segments, long now) {
		return rejectedMillis(segments, now) > 0;
	}

	// Whether a rule matches the prompt, expired or not.
	boolean knows(Collection<String> segments) {
		return this.entries.values().stream().anyMatch((entry) -> entry.rule.matches(segments));
	}

	// Makes a rule on evidence of this host.
	void make(QuarantineRule rule, String reason, long now) {
		this.entries.put(rule.name(), new Entry(rule, now));
		this.listener.onChanged(rule.name(), Optional.of(rule), reason);
	}

	// Renews the expired rules that match a prompt which has crashed another engine.
	void renewExpired(Collection<String> segments, long now) {
		for (Entry entry : List.copyOf(this.entries.values())) {
			if (entry.rule.matches(segments) && !entry.rule.active(now)) {
				make(entry.rule.renewed(now), "crash_after_expiry", now);
			}
		}
	}

	/**
	 * Applies the proof that an engine answers a prompt. A rule that matches the prompt
	 * is refuted; from others, the segments of the prompt are removed, since they are
	 * harmless.
	 * @param segments segments of the prompt without the last one
	 * @param dispatchedAt time at which the request was dispatched; a rule that was made
	 * later is not changed
	 * @param now time in milliseconds
	 */
	void onAnswered(Collection<String> segments, long dispatchedAt, long now) {
		for (Entry entry : List.copyOf(this.entries.values())) {
			QuarantineRule narrowed = entry.rule.without(segments);
			boolean unaffected = narrowed.segments().size() == entry.rule.segments().size();
			if (unaffected || dispatchedAt < entry.madeAt) {
				continue;
			}
			boolean refuted = narrowed.segments().isEmpty();
			this.entries.remove(entry.rule.name());
			this.listener.onChanged(entry.rule.name(), Optional.empty(), refuted ? "refuted" : "narrowed");
			if (!refuted) {
				make(narrowed, "narrowed", now);
			}
		}
	}

	/**
	 * Adds a rule that another host has made.
	 * @param rule the rule; replaces a rule with the same segments that expires sooner
	 * @param now time in milliseconds
	 */
	public void add(QuarantineRule rule, long now) {
		Entry known = this.entries.get(rule.name());
		if (!rule.forgotten(now) && (known == null || known.rule.expiresAt() < rule.expiresAt())) {
			this.entries.put(rule.name(), new Entry(rule, now));
		}
	}

	/**
	 * Removes a rule that another host has withdrawn.
	 * @param name name of the rule
	 */
	public void remove(String name) {
		this.entries.remove(name);
	}

	/**
	 * Removes rules that have expired long ago.
	 * @param now time in milliseconds
	 * @return names of the removed rules
	 */
	public List<String> removeForgotten(long now) {
		List<String> names = this.entries.values()
			.stream()
			.filter((entry) -> entry.rule.forgotten(now))
			.map((entry) -> entry.rule.name())
			.toList();
		names.forEach(this.entries::remove);
		return names;
	}

	/**
	 * Returns all rules, expired ones included.
	 * @return the rules
	 */
	public List<QuarantineRule> rules() {
		return this.entries.values().stream().map((entry) -> entry.rule).toList();
	}

	/**
	 * Receives changes that follow from evidence of this host.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handles a change.
		 * @param name name of the rule
		 * @param rule the rule, or empty if it was withdrawn
		 * @param reason key of the reason
		 */
		void onChanged(String name, Optional<QuarantineRule> rule, String reason);

	}

	/**
	 * A rule and the time since which this host has it. Immutable.
	 *
	 * @param rule the rule
	 * @param madeAt time in milliseconds
	 */
	private record Entry(QuarantineRule rule, long madeAt) {

	}

}
