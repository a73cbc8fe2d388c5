package carawayswitch.gateway;

import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

import carawayswitch.route.OriginTable;
import carawayswitch.route.StreamOrigin;
import carawayswitch.route.StreamRegistry;

/**
 * Reads from the store what has begun streams that this host does not know. Invariant:
 * the result of a lookup was read after it was requested, so that it holds every stream
 * whose client had received an event and every origin that had begun one. Lookups that
 * are requested during a read share the next one. Confined to the event loop thread.
 */
final class OriginLookup {

	private final StreamOriginStore store;

	private final BatchListener batchListener;

	private final StreamRegistry recorded = new StreamRegistry();

	private LogPosition position = LogPosition.NONE;

	private boolean reading;

	/** Result of the read that follows the current one, or null if none is awaited. */
	private SettablePromise<Snapshot> next;

	OriginLookup(StreamOriginStore store, BatchListener batchListener) {
		this.store = store;
		this.batchListener = batchListener;
	}

	/**
	 * Reads the recorded streams and the origin table.
	 * @return the snapshot; fails if the store cannot be read
	 */
	Promise<Snapshot> read() {
		if (this.next == null) {
			this.next = new SettablePromise<>();
		}
		Promise<Snapshot> result = this.next;
		if (!this.reading) {
			startRead();
		}
		return result;
	}

	private void startRead() {
		SettablePromise<Snapshot> result = this.next;
		this.next = null;
		this.reading = true;
		readStreams().combine(this.store.origins().readLatest(), (epoch, page) -> {
			OriginTable table = new OriginTable(page.entries().values().stream().flatMap(Optional::stream).toList());
			return new Snapshot(table, Math.max(epoch, page.next().epoch()));
		}).subscribe((snapshot, failure) -> {
			this.reading = false;
			if (this.next != null) {
				startRead();
			}
			result.set(snapshot, failure);
		});
	}

	// Returns the epoch of the store. What was read before stays true in a later epoch,
	// though the store may have lost it.
	private Promise<Long> readStreams() {
		LogPosition from = this.position;
		if (from.equals(LogPosition.NONE)) {
			return this.store.streams().readLatest().map(this::apply);
		}
		return this.store.streams().readFrom(from, 0).then((page) -> {
			boolean followsOn = !page.offsetExpired() && page.next().samePhase(from);
			if (!followsOn) {
				return this.store.streams().readLatest().map(this::apply);
			}
			long epoch = apply(page);
			return page.upToDate() ? Promise.of(epoch) : readStreams();
		});
	}

	private long apply(RecordSource.Page<StreamBatch> page) {
		long now = Clocks.monotonicMillis();
		page.entries().values().stream().flatMap(Optional::stream).forEach((batch) -> {
			batch.keys()
				.forEach((origin, keys) -> keys
					.forEach((key) -> this.recorded.add(key, origin, batch.lifetimeMillis(), now)));
			this.batchListener.onBatch(batch.name(), now + batch.lifetimeMillis());
		});
		this.position = page.next();
		return page.next().epoch();
	}

	/**
	 * Finds a stream among those that were read.
	 * @param key key of the stream
	 * @return what has begun it, if it was recorded
	 */
	Optional<StreamOrigin> find(String key) {
		return this.recorded.find(key);
	}

	/**
	 * What a lookup has read besides the streams. Immutable.
	 *
	 * @param table the stored origin table
	 * @param epoch epoch of the store
	 */
	record Snapshot(OriginTable table, long epoch) {

	}

	/**
	 * Receives the batches that are read.
	 */
	interface BatchListener {

		/**
		 * Handles a batch.
		 * @param name name of the batch
		 * @param expiresAt monotonic time in milliseconds from which it is of no use
		 */
		void onBatch(String name, long expiresAt);

	}

}
