package carawayswitch.schedule;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes are in an engine's prefix cache, from recently
 * dispatched work. Evicts the least recently used prefix first, as engines do. Prefixes
 * are counted against half of the engine's KV cache. Not thread-safe.
 */
final class PrefixCacheEstimator {

	/**
	 * Capacity in tokens, in effect unlimited, if the size of the engine's KV cache is
	 * not configured.
	 */
	private static final int DEFAULT_CAPACITY_TOKENS = 1_000_000;

	private final int capacityTokens;

	private final LinkedHashMap<Long, Integer> tokensByPrefixHash = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedPrefixTokens;

	PrefixCacheEstimator(int kvCacheTokens) {
		this.capacityTokens = (kvCacheTokens > 0) ? kvCacheTokens / 2 : DEFAULT_CAPACITY_TOKENS;
	}

	int cachedTokens(Work work) {
		if (work.prefixHash() == 0) {
			return 0;
		}
		Integer prefixTokens = this.tokensByPrefixHash.get(work.prefixHash());
		return (prefixTokens != null) ? Math.min(prefixTokens, work.promptTokens()) : 0;
	}

	void onDispatched(Work work) {
		if (work.prefixHash() == 0 || work.prefixTokens() > this.capacityTokens) {
			return;
		}
		Integer previousTokens = this.tokensByPrefixHash.put(work.prefixHash(), work.prefixTokens());
		this.cachedPrefixTokens += work.prefixTokens() - ((previousTokens != null) ? previousTokens : 0);
		Iterator<Map.Entry<Long, Integer>> eldest = this.tokensByPrefixHash.entrySet().iterator();
		while (this.cachedPrefixTokens > this.capacityTokens && eldest.hasNext()) {
			this.cachedPrefixTokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	void onEvicted(long prefixHash) {
		Integer evictedTokens = this.tokensByPrefixHash.remove(prefixHash);
		this.cachedPrefixTokens -= (evictedTokens != null) ? evictedTokens : 0;
	}

}
