package carawayswitch.schedule;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Guesses which prompt prefixes an engine holds, from what was dispatched to it lately.
 * Evicts the least recently used prefix first, as engines do. Not safe for use by several
 * threads.
 */
final class PrefixCacheEstimate {

	private static final int UNLIMITED = 1_000_000;

	private final int capacityTokens;

	private final LinkedHashMap<Long, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	PrefixCacheEstimate(int capacityTokens) {
		this.capacityTokens = (capacityTokens > 0) ? capacityTokens / 2 : UNLIMITED;
	}

	int cachedTokens(Work work) {
		if (work.prefixHash() == 0) {
			return 0;
		}
		Integer cached = this.prefixes.get(work.prefixHash());
		return (cached != null) ? Math.min(cached, work.promptTokens()) : 0;
	}

	void onDispatched(Work work) {
		if (work.prefixHash() == 0 || work.prefixTokens() > this.capacityTokens) {
			return;
		}
		Integer previous = this.prefixes.put(work.prefixHash(), work.prefixTokens());
		this.tokens += work.prefixTokens() - ((previous != null) ? previous : 0);
		Iterator<Map.Entry<Long, Integer>> eldest = this.prefixes.entrySet().iterator();
		while (this.tokens > this.capacityTokens && eldest.hasNext()) {
			this.tokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	void onEvicted(long prefixHash) {
		Integer evicted = this.prefixes.remove(prefixHash);
		this.tokens -= (evicted != null) ? evicted : 0;
	}

}
