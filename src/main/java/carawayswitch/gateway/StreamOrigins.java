package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.BegunStream;
import carawayswitch.message.Message;
import carawayswitch.message.StreamsBegun;
import carawayswitch.message.StreamsRecorded;
import carawayswitch.route.Confirmation;
import carawayswitch.route.EndpointTable;
import carawayswitch.route.OriginEntry;
import carawayswitch.route.OriginPlanner;
import carawayswitch.route.OriginTable;
import carawayswitch.route.Recording;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;
import carawayswitch.route.StreamOrigin;
import carawayswitch.route.StreamRegistry;
import carawayswitch.route.StreamResumption;

/**
 * Knows what has begun the streams of this host, has it recorded so that it outlives the
 * host, and finds it out for streams that clients take up. While the streams of a route
 * can begin at one origin only, the stored {@link OriginTable} alone tells it, and no
 * stream is recorded. Invariants: a stream begins only at an origin that the table has; a
 * stream goes on only at its origin. Confined to the event loop thread.
 */
final class StreamOrigins {

	/** Time in milliseconds after which an unanswered message is sent again. */
	private static final long RESEND_MILLIS = 500;

	/** Delay before a failed write of the table is repeated, in milliseconds. */
	private static final long WRITE_RETRY_MILLIS = 500;

	/**
	 * Time in milliseconds for which a take-up waits for the record of its stream, which
	 * the owner of the pools may still be about to store.
	 */
	private static final long RECORD_GRACE_MILLIS = 250;

	/** Time in milliseconds for which a take-up waits for a store that fails. */
	private static final long LOOKUP_LIMIT_MILLIS = 1000;

	private static final long LOOKUP_PAUSE_MILLIS = 60;

	/** Time in milliseconds between two checks for origins to retire or remove. */
	private static final long PLAN_INTERVAL_MILLIS = 5000;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final StreamOriginStore store;

	private final PlainServiceCrashes.Hosts hosts;

	private final BiConsumer<String, Message> reply;

	private final StreamRecorder recorder;

	private final OriginLookup lookup;

	private final OriginPlanner planner = new OriginPlanner();

	private final StreamRegistry known = new StreamRegistry();

	/** Stored entries as this host has read them, by name of the record. */
	private final Map<String, OriginEntry> stored = new HashMap<>();

	/** Entries that this host has stored and not read yet. */
	private final List<OriginEntry> written = new ArrayList<>();

	/** Offset in the store up to which this host has read the entries. */
	private long tableEnd = -1;

	private OriginTable table = OriginTable.EMPTY;

	private Confirmation confirmation = Confirmation.NONE;

	private boolean loaded;

	private boolean writing;

	private RouteTable routes;

	private EndpointTable endpoints = EndpointTable.EMPTY;

	/** Streams that the table does not tell and that are not recorded yet, by key. */
	private final Map<String, Unrecorded> unrecorded = new LinkedHashMap<>();

	/** Streams of this host that the table alone tells at present, by key. */
	private final Map<String, Unrecorded> implied = new LinkedHashMap<>();

	private boolean resendScheduled;

	/** Latest epoch of the store that this host has seen. */
	private long latestEpoch;

	/** Monotonic time in milliseconds of the first read in that epoch. */
	private long epochSince;

	/** Epoch of the store in the first read of this host, or a negative number. */
	private long firstEpoch = -1;

	StreamOrigins(NioReactor reactor, DecisionLog log, StreamOriginStore store, PlainServiceCrashes.Hosts hosts,
			BiConsumer<String, Message> reply, String processId) {
		this.reactor = reactor;
		this.log = log;
		this.store = store;
		this.hosts = hosts;
		this.reply = reply;
		this.recorder = new StreamRecorder(reactor, log, store, processId + '-', this::sendRecorded);
		this.lookup = new OriginLookup(store, this.recorder::onBatch);
	}

	private void sendRecorded(String host, StreamsRecorded message) {
		if (host.isEmpty()) {
			onRecorded(message);
		}
		else {
			this.reply.accept(host, message);
		}
	}

	void start() {
		RepeatedTask.start(this.reactor, PLAN_INTERVAL_MILLIS, this::writeChanges);
	}

	boolean loaded() {
		return this.loaded;
	}

	/**
	 * Applies entries of the table that were read.
	 * @param update the changes
	 */
	void onOrigins(RecordFollower.Update<OriginEntry> update) {
		this.loaded = true;
		this.firstEpoch = (this.firstEpoch < 0) ? update.position().epoch() : this.firstEpoch;
		if (update.position().epoch() != this.latestEpoch) {
			this.latestEpoch = update.position().epoch();
			this.epochSince = Clocks.monotonicMillis();
		}
		this.confirmation = this.confirmation.newer(update.confirmation());
		this.tableEnd = update.position().offset();
		update.entries()
			.forEach((name, entry) -> entry.ifPresentOrElse((present) -> this.stored.put(name, present),
					() -> this.stored.remove(name)));
		this.written.removeAll(this.stored.values());
		if (!update.entries().isEmpty()) {
			replaceTable();
		}
		writeChanges();
	}

	private void replaceTable() {
		this.table = new OriginTable(this.stored.values()).with(this.written);
		this.log.write(LogEvent.ORIGINS_CHANGED, "stored", this.stored.size(), "written", this.written.size(), "last",
				this.written.isEmpty() ? "" : this.written.get(this.written.size() - 1));
		recordImplied();
	}

	// Has streams recorded that the table alone no longer tells.
	private void recordImplied() {
		long now = Clocks.monotonicMillis();
		this.implied.values().removeIf((stream) -> {
			boolean due = stream.expiresAt() > now && recording(stream, now) != Recording.NONE;
			if (due) {
				this.unrecorded.put(stream.key(), stream);
			}
			return due || stream.expiresAt() <= now;
		});
		sendUnrecorded();
	}

	private Recording recording(Unrecorded stream, long now) {
		return this.table.recording(stream.route(), stream.origin(), stream.expiresAt() - now);
	}

	/**
	 * Replaces the configuration and the endpoints.
	 * @param newRoutes the configuration, or null if none is known
	 * @param newEndpoints the endpoints
	 */
	void update(RouteTable newRoutes, EndpointTable newEndpoints) {
		this.routes = newRoutes;
		this.endpoints = newEndpoints;
		writeChanges();
	}

	// Stores changes of the table, as the owner of the pools.
	private void writeChanges() {
		if (this.writing || !this.loaded || this.routes == null || !this.hosts.ownsPools()) {
			return;
		}
		OriginPlanner.Changes changes = this.planner.plan(this.routes, this.endpoints, this.table,
				Clocks.monotonicMillis());
		if (changes.isEmpty()) {
			return;
		}
		this.writing = true;
		long expectedEnd = this.tableEnd + changes.puts().size() + changes.removals().size();
		this.store.publishOrigins(changes.puts(), changes.removals(), this.tableEnd).subscribe((done, failure) -> {
			if (failure == null) {
				this.writing = false;
				this.written.addAll(changes.puts());
				this.tableEnd = Math.max(this.tableEnd, expectedEnd);
				replaceTable();
			}
			else {
				this.log.write(LogEvent.STORE_LOST, "records", "origins", "reason", failure.getMessage());
				this.reactor.delayBackground(WRITE_RETRY_MILLIS, () -> {
					this.writing = false;
					writeChanges();
				});
			}
		});
	}

	/**
	 * Returns the versions at which a new stream may begin.
	 * @param route name of the route
	 * @param service name of the service
	 * @return the versions; none if the table is too old
	 */
	Set<String> beginVersions(String route, String service) {
		if (ageMillis() > OriginPlanner.MAX_AGE_MILLIS) {
			return Set.of();
		}
		Set<String> versions = this.table.beginVersions(route, service, !this.recorder.failing());
		boolean serving = this.endpoints.accepting(service)
			.stream()
			.anyMatch((endpoint) -> versions.contains(endpoint.version()));
		return serving ? versions : this.table.beginVersions(route, service, true);
	}

	// Unlike for API keys, a step of the wall clock voids nothing: the bound is long.
	private long ageMillis() {
		return this.confirmation.equals(Confirmation.NONE) ? Long.MAX_VALUE
				: Math.max(Clocks.monotonicMillis() - this.confirmation.monotonicMillis(),
						Clocks.wallMillis() - this.confirmation.wallMillis());
	}

	/**
	 * Handles the first event of a new stream.
	 * @param stream the stream
	 * @param onRecorded run once the stream is recorded
	 * @return whether the stream is recorded, and by when
	 */
	Recording onBegun(NewStream stream, Runnable onRecorded) {
		long now = Clocks.monotonicMillis();
		this.known.add(stream.key(), stream.origin(), stream.lifetimeMillis(), now);
		Unrecorded entry = new Unrecorded(stream.key(), stream.route(), stream.origin(), now + stream.lifetimeMillis(),
				onRecorded);
		Recording recording = recording(entry, now);
		if (recording == Recording.NONE) {
			removeExpiredImplied(now);
			this.implied.put(entry.key(), entry);
			return recording;
		}
		this.unrecorded.put(entry.key(), entry);
		send(List.of(entry), now);
		scheduleResend();
		return recording;
	}

	private void removeExpiredImplied(long now) {
		Iterator<Unrecorded> oldestFirst = this.implied.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().expiresAt() <= now) {
			oldestFirst.remove();
		}
	}

	/**
	 * Forgets a stream that its client does not take up.
	 * @param key key of the stream
	 */
	void forget(String key) {
		this.implied.remove(key);
		this.unrecorded.remove(key);
	}

	private void send(List<Unrecorded> streams, long now) {
		this.hosts.sendToOwner(new StreamsBegun(streams.stream()
			.map((stream) -> new BegunStream(stream.key(), stream.origin().service(), stream.origin().version(),
					stream.expiresAt() - now))
			.toList()));
	}

	private void sendUnrecorded() {
		long now = Clocks.monotonicMillis();
		this.unrecorded.values().removeIf((stream) -> stream.expiresAt() <= now);
		if (!this.unrecorded.isEmpty()) {
			send(List.copyOf(this.unrecorded.values()), now);
			scheduleResend();
		}
	}

	private void scheduleResend() {
		if (!this.resendScheduled) {
			this.resendScheduled = true;
			this.reactor.delayBackground(RESEND_MILLIS, () -> {
				this.resendScheduled = false;
				sendUnrecorded();
			});
		}
	}

	/** Sends again what the former owner of the pools may not have recorded. */
	void onOwnerChanged() {
		sendUnrecorded();
		writeChanges();
	}

	/**
	 * Records streams of a host, as the owner of the pools.
	 * @param host id of the host, or empty for this one
	 * @param message the streams
	 */
	void onStreamsBegun(String host, StreamsBegun message) {
		message.streams().forEach((stream) -> this.recorder.record(host, stream));
	}

	void onRecorded(StreamsRecorded message) {
		for (String key : message.keys()) {
			Unrecorded stream = this.unrecorded.remove(key);
			if (stream != null) {
				stream.onRecorded().run();
			}
		}
	}

	/**
	 * Finds out where a stream goes on that a client takes up.
	 * @param route the route of the request
	 * @param key key of the stream
	 * @return the decision; never fails
	 */
	Promise<StreamResumption> resolve(Route route, String key) {
		Optional<StreamOrigin> origin = this.known.find(key);
		return origin.isPresent() ? Promise.of(StreamResumption.ofKnown(route, origin.get(), "this_host"))
				: lookUp(route, key, Clocks.monotonicMillis());
	}

	private Promise<StreamResumption> lookUp(Route route, String key, long requestedAt) {
		return this.lookup.read()
			.map((snapshot) -> decide(route, key, snapshot), (failure) -> StreamResumption.STORE_UNREADABLE)
			.then((decision) -> {
				long waitedMillis = Clocks.monotonicMillis() - requestedAt;
				boolean lookUpAgain = switch (decision.verdict()) {
					case GO_ON -> false;
					case NOT_KNOWN_YET -> waitedMillis < LOOKUP_LIMIT_MILLIS;
					case NOT_RESUMABLE -> waitedMillis < RECORD_GRACE_MILLIS;
				};
				return lookUpAgain ? Promises.delay(LOOKUP_PAUSE_MILLIS).then(($) -> lookUp(route, key, requestedAt))
						: Promise.of(decision);
			});
	}

	private StreamResumption decide(Route route, String key, OriginLookup.Snapshot snapshot) {
		return StreamResumption.decide(route, this.lookup.find(key), snapshot.table(),
				StoreEpoch.isFirst(snapshot.epoch()) || nothingLost(route, snapshot));
	}

	// After a restore the store may lack entries and records. That does not matter once
	// streams from before the restore are over, nor if this host knew the table before
	// and there was one origin only.
	private boolean nothingLost(Route route, OriginLookup.Snapshot snapshot) {
		boolean knownBefore = this.firstEpoch >= 0 && this.firstEpoch < snapshot.epoch();
		boolean longAgo = Clocks.monotonicMillis() - this.epochSince > OriginTable.MAX_UNRECORDED_MILLIS;
		return longAgo && this.latestEpoch == snapshot.epoch()
				|| knownBefore && snapshot.table().with(this.stored.values()).possible(route.name()).size() == 1;
	}

	/**
	 * A stream whose first event has arrived. Immutable.
	 *
	 * @param key key of the stream
	 * @param route name of its route
	 * @param origin what has begun it
	 * @param lifetimeMillis time in milliseconds for which its client may take it up
	 */
	record NewStream(String key, String route, StreamOrigin origin, long lifetimeMillis) {

	}

	/**
	 * A stream of this host that is not recorded. Immutable.
	 *
	 * @param key key of the stream
	 * @param route name of its route
	 * @param origin what has begun it
	 * @param expiresAt monotonic time in milliseconds from which its client no longer
	 * waits
	 * @param onRecorded run once the stream is recorded
	 */
	private record Unrecorded(String key, String route, StreamOrigin origin, long expiresAt, Runnable onRecorded) {

	}

}
