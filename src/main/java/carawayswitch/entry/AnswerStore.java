package carawayswitch.entry;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Answers to requests that hold grants, by request id. Holds the answers in progress, and
 * finished ones in a cache bounded by size and age. Safe for use by several threads.
 */
final class AnswerStore {

	private static final int RECORD_OVERHEAD_BYTES = 256;

	private final ConcurrentMap<String, AnswerRecord> inProgress = new ConcurrentHashMap<>();

	private final Cache<String, AnswerRecord> finished;

	AnswerStore(long maxBytes, Duration maxAge) {
		this.finished = Caffeine.newBuilder()
			.maximumWeight(maxBytes)
			.weigher((String requestId, AnswerRecord answer) -> RECORD_OVERHEAD_BYTES + answer.bodyBytes())
			.expireAfterWrite(maxAge)
			.build();
	}

	void onGrantRequested(String requestId, AnswerRecord answer) {
		this.inProgress.put(requestId, answer);
	}

	void onNotGranted(String requestId) {
		this.inProgress.remove(requestId);
	}

	void onFinished(String requestId) {
		AnswerRecord answer = this.inProgress.get(requestId);
		if (answer != null) {
			this.finished.put(requestId, answer);
			this.inProgress.remove(requestId, answer);
		}
	}

	AnswerRecord find(String requestId) {
		AnswerRecord answer = this.inProgress.get(requestId);
		return (answer != null) ? answer : this.finished.getIfPresent(requestId);
	}

}
