package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.BegunStream;
import carawayswitch.message.StreamsRecorded;
import carawayswitch.route.StreamOrigin;

/**
 * Records for all hosts what has begun their streams, at the owner of the pools. Streams
 * are stored in batches, since the store limits and prices its calls; batches whose
 * streams are no longer awaited are removed with later ones. Invariant: a host is told
 * that a stream is recorded only after the store has acknowledged it. Confined to the
 * event loop thread.
 */
final class StreamRecorder {

	/**
	 * Time in milliseconds in which streams are collected for one call, which delays the
	 * first event of a stream.
	 */
	private static final long BATCH_MILLIS = 40;

	/** Delay before a failed call is repeated, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 250;

	/** Most streams of a batch, so that a batch stays well below the size of a record. */
	private static final int MAX_BATCH_STREAMS = 500;

	/** Most expired batches that are removed with a call. */
	private static final int MAX_REMOVALS = 100;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final StreamOriginStore store;

	/** Prefix of the names of the batches of this process. */
	private final String namePrefix;

	private final BiConsumer<String, StreamsRecorded> reply;

	/** Streams that are not stored yet, by key. */
	private final Map<String, Pending> pending = new LinkedHashMap<>();

	/** Monotonic time at which each stored batch expires, by name. */
	private final Map<String, Long> batches = new LinkedHashMap<>();

	private long nextBatch;

	private boolean flushScheduled;

	private boolean failing;

	/**
	 * Creates a recorder.
	 * @param reactor event loop
	 * @param log decision log
	 * @param store store of the batches
	 * @param namePrefix prefix of the names of batches, different for each process
	 * @param reply sends a message to a host
	 */
	StreamRecorder(NioReactor reactor, DecisionLog log, StreamOriginStore store, String namePrefix,
			BiConsumer<String, StreamsRecorded> reply) {
		this.reactor = reactor;
		this.log = log;
		this.store = store;
		this.namePrefix = namePrefix;
		this.reply = reply;
	}

	/**
	 * Records a stream.
	 * @param host id of the host that is told when the stream is recorded
	 * @param stream the stream
	 */
	void record(String host, BegunStream stream) {
		this.pending.put(stream.key(), new Pending(host, stream));
		scheduleFlush(BATCH_MILLIS);
	}

	/**
	 * Learns of a batch that some host has stored.
	 * @param name name of the batch
	 * @param expiresAt monotonic time in milliseconds from which it is of no use
	 */
	void onBatch(String name, long expiresAt) {
		this.batches.putIfAbsent(name, expiresAt);
	}

	/**
	 * Returns whether streams cannot be recorded at present.
	 * @return true if the latest call has failed and streams wait for the next one
	 */
	boolean failing() {
		return this.failing && !this.pending.isEmpty();
	}

	private void scheduleFlush(long delayMillis) {
		if (!this.flushScheduled && !this.pending.isEmpty()) {
			this.flushScheduled = true;
			this.reactor.delay(delayMillis, this::flush);
		}
	}

	private void flush() {
		List<Pending> taken = takePending();
		Map<StreamOrigin, List<String>> keys = new HashMap<>();
		long lifetimeMillis = 0;
		for (Pending entry : taken) {
			BegunStream stream = entry.stream();
			keys.computeIfAbsent(new StreamOrigin(stream.service(), stream.version()), (origin) -> new ArrayList<>())
				.add(stream.key());
			lifetimeMillis = Math.max(lifetimeMillis, stream.lifetimeMillis());
		}
		StreamBatch batch = new StreamBatch(this.namePrefix + this.nextBatch++, lifetimeMillis, keys);
		List<String> expired = expiredBatches(Clocks.monotonicMillis());
		this.store.publishStreams(batch, expired).subscribe((done, failure) -> {
			this.flushScheduled = false;
			this.failing = failure != null;
			// A batch whose call has failed may be stored all the same.
			this.batches.put(batch.name(), Clocks.monotonicMillis() + batch.lifetimeMillis());
			if (failure == null) {
				expired.forEach(this.batches::remove);
				acknowledge(taken);
				scheduleFlush(BATCH_MILLIS);
			}
			else {
				this.log.write(LogEvent.STORE_LOST, "records", "streams", "reason", failure.getMessage());
				taken.forEach((entry) -> this.pending.putIfAbsent(entry.stream().key(), entry));
				scheduleFlush(RETRY_DELAY_MILLIS);
			}
		});
	}

	private List<Pending> takePending() {
		List<Pending> taken = new ArrayList<>();
		Iterator<Pending> oldestFirst = this.pending.values().iterator();
		while (oldestFirst.hasNext() && taken.size() < MAX_BATCH_STREAMS) {
			taken.add(oldestFirst.next());
			oldestFirst.remove();
		}
		return taken;
	}

	private List<String> expiredBatches(long now) {
		return this.batches.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= now)
			.limit(MAX_REMOVALS)
			.map(Map.Entry::getKey)
			.toList();
	}

	private void acknowledge(List<Pending> stored) {
		Map<String, List<String>> keysByHost = new HashMap<>();
		stored.forEach((entry) -> keysByHost.computeIfAbsent(entry.host(), (host) -> new ArrayList<>())
			.add(entry.stream().key()));
		keysByHost.forEach((host, keys) -> this.reply.accept(host, new StreamsRecorded(keys)));
	}

	/**
	 * A stream that is not stored yet. Immutable.
	 *
	 * @param host id of the host to tell when it is
	 * @param stream the stream
	 */
	private record Pending(String host, BegunStream stream) {

	}

}
