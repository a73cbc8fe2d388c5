package carawayswitch.entry;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Answers by id of the request that holds the grant: those under way, and finished ones
 * up to a bound in bytes and age. Safe for use by several threads.
 */
final class AnswerStore {

	private static final int RECORD_OVERHEAD_BYTES = 256;

	private final ConcurrentMap<String, AnswerRecord> running = new ConcurrentHashMap<>();

	private final Cache<String, AnswerRecord> finished;

	AnswerStore(long maxBytes, Duration age) {
		this.finished = Caffeine.newBuilder()
			.maximumWeight(maxBytes)
			.weigher((String requestId, AnswerRecord answer) -> RECORD_OVERHEAD_BYTES + answer.bytes())
			.expireAfterWrite(age)
			.build();
	}

	void onAsked(String requestId, AnswerRecord answer) {
		this.running.put(requestId, answer);
	}

	void onRefused(String requestId) {
		this.running.remove(requestId);
	}

	void onFinished(String requestId) {
		AnswerRecord answer = this.running.get(requestId);
		if (answer != null) {
			this.finished.put(requestId, answer);
			this.running.remove(requestId, answer);
		}
	}

	AnswerRecord find(String requestId) {
		AnswerRecord answer = this.running.get(requestId);
		return (answer != null) ? answer : this.finished.getIfPresent(requestId);
	}

}
