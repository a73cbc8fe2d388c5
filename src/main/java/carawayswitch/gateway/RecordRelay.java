package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Try;

import carawayswitch.message.Message;
import carawayswitch.message.RelayAsk;
import carawayswitch.message.RelayRecord;
import carawayswitch.message.RelayReply;
import carawayswitch.route.Confirmation;

/**
 * Relays records of the store between hosts, so that in a large fleet a few hosts of each
 * availability zone read the store on behalf of all. Hosts query only hosts of a higher
 * rank, so that no two hosts query each other. A host whose relays do not answer reads
 * the store itself. Confined to the thread of its event loop.
 */
final class RecordRelay {

	/** Time allowed for a reply beyond the requested wait, in milliseconds. */
	static final long REPLY_MARGIN_MILLIS = 300;

	/**
	 * Time in milliseconds for which a host is not queried after it has not answered or
	 * has answered that its records are not current.
	 */
	static final long BACKOFF_MILLIS = 5000;

	private final NioReactor reactor;

	private final GatewayPeers peers;

	private final Map<String, RelayLog<?>> logs = new HashMap<>();

	/**
	 * Long polls of other hosts that wait for a record, by host and kind, in the order of
	 * their arrival.
	 */
	private final Map<String, HeldRequest> heldRequests = new LinkedHashMap<>();

	/** Handlers of the outstanding requests of this host, by sequence number. */
	private final Map<Long, Consumer<RelayReply>> pendingReplies = new HashMap<>();

	/** End of the backoff of a host as monotonic time in milliseconds, by host id. */
	private final Map<String, Long> backoffUntil = new HashMap<>();

	private long nextSequence;

	RecordRelay(NioReactor reactor, GatewayPeers peers) {
		this.reactor = reactor;
		this.peers = peers;
	}

	/**
	 * Creates the log of one kind of records, from which the requests of other hosts are
	 * answered.
	 * @param <T> type of a decoded record
	 * @param kind the kind
	 * @return the log, to be updated by the follower of that kind
	 */
	<T> RelayLog<T> createLog(RecordFollower.Kind<T> kind) {
		RelayLog<T> log = new RelayLog<>(kind.older());
		log.onChange(() -> answerHeldRequests(kind.name()));
		this.logs.put(kind.name(), log);
		return log;
	}

	/**
	 * Creates a source that queries other hosts if the fleet is large, and the store
	 * otherwise.
	 * @param <T> type of a decoded record
	 * @param kind name of the kind
	 * @param store source that reads the store
	 * @param waitMillis time for which another host holds a request open until a record
	 * arrives, in milliseconds; 0 for an immediate answer
	 * @return the source
	 */
	<T> RecordSource<T> createSource(String kind, RecordSource<T> store, long waitMillis) {
		return new RelayedSource<>(kind, store, waitMillis);
	}

	/**
	 * Handles a message of another host.
	 * @param peer id of the host
	 * @param message the message
	 * @return false if the message is not a relay request or reply
	 */
	boolean onMessage(String peer, Message message) {
		if (message instanceof RelayAsk request) {
			onRequest(peer, request);
		}
		else if (message instanceof RelayReply reply) {
			Consumer<RelayReply> onReply = this.pendingReplies.remove(reply.sequence());
			if (onReply != null) {
				onReply.accept(reply);
			}
		}
		else {
			return false;
		}
		return true;
	}

	private void onRequest(String peer, RelayAsk request) {
		RelayLog<?> log = this.logs.get(request.kind());
		HeldRequest heldRequest = new HeldRequest(peer, request, Clocks.now());
		if (log == null || request.waitMillis() == 0 || log.hasUpdates(position(request))) {
			answer(heldRequest);
			return;
		}
		String key = peer + ' ' + request.kind();
		this.heldRequests.put(key, heldRequest);
		this.reactor.delayBackground(request.waitMillis(), () -> {
			if (this.heldRequests.remove(key, heldRequest)) {
				answer(heldRequest);
			}
		});
	}

	private void answerHeldRequests(String kind) {
		for (Map.Entry<String, HeldRequest> entry : List.copyOf(this.heldRequests.entrySet())) {
			HeldRequest heldRequest = entry.getValue();
			if (heldRequest.request().kind().equals(kind) && this.heldRequests.remove(entry.getKey(), heldRequest)) {
				answer(heldRequest);
			}
		}
	}

	private void answer(HeldRequest heldRequest) {
		RelayAsk request = heldRequest.request();
		RelayLog<?> log = this.logs.get(request.kind());
		this.peers.reply(heldRequest.peer(),
				(log != null) ? log.answer(request.sequence(), position(request), heldRequest.arrivedAt(), Clocks.now())
						: RelayLog.notCurrent(request.sequence()));
	}

	// Queries the hosts in order until one has current records; fails if none has. Only
	// the first one is asked to hold the request open.
	private Promise<RelayedReply> queryHosts(List<String> hosts, RelayAsk request) {
		String host = hosts.get(0);
		SettablePromise<RelayReply> result = new SettablePromise<>();
		this.pendingReplies.put(request.sequence(), (reply) -> {
			// A relay that has not noticed a restore of the store is as good as none.
			boolean usable = reply.current() && !position(reply).earlierPhase(position(request));
			if (!usable) {
				backOff(host);
			}
			result.trySet(usable ? reply : RelayLog.notCurrent(request.sequence()));
		});
		Runnable onUnanswered = () -> {
			if (this.pendingReplies.remove(request.sequence()) != null) {
				backOff(host);
				result.trySet(RelayLog.notCurrent(request.sequence()));
			}
		};
		this.reactor.delayBackground(request.waitMillis() + REPLY_MARGIN_MILLIS, onUnanswered::run);
		this.peers.send(host, request, onUnanswered);
		return result.then((reply) -> {
			if (reply.current()) {
				return Promise.of(new RelayedReply(host, reply));
			}
			return (hosts.size() > 1) ? queryHosts(hosts.subList(1, hosts.size()), repeatWithoutWait(request)) : Promise
				.ofException(new IllegalStateException("no relay host has current records of kind " + request.kind()));
		});
	}

	private RelayAsk repeatWithoutWait(RelayAsk request) {
		return createRequest(request.kind(), position(request), 0);
	}

	private RelayAsk createRequest(String kind, LogPosition from, long waitMillis) {
		return new RelayAsk(this.nextSequence++, kind, from.offset(), waitMillis, from.epoch(), from.settled());
	}

	private static LogPosition position(RelayAsk request) {
		return new LogPosition(request.epoch(), request.settled(), request.fromOffset());
	}

	private static LogPosition position(RelayReply reply) {
		return new LogPosition(reply.epoch(), reply.settled(), reply.nextOffset());
	}

	private void backOff(String host) {
		this.backoffUntil.put(host, Clocks.monotonicMillis() + BACKOFF_MILLIS);
	}

	private List<String> availableRelays() {
		long now = Clocks.monotonicMillis();
		this.backoffUntil.values().removeIf((until) -> now >= until);
		return this.peers.relays(this.backoffUntil.keySet());
	}

	/**
	 * A request that is held open until a record arrives. Immutable.
	 *
	 * @param peer id of the requesting host
	 * @param request the request
	 * @param arrivedAt reading of both clocks when the request arrived
	 */
	private record HeldRequest(String peer, RelayAsk request, Confirmation arrivedAt) {

	}

	/**
	 * A reply and the host that sent it. Immutable.
	 *
	 * @param host id of the host
	 * @param reply the reply
	 */
	private record RelayedReply(String host, RelayReply reply) {

	}

	/**
	 * Source that queries the relay hosts, and the store if there are none or none has
	 * current records. Confined to the thread of the event loop.
	 *
	 * @param <T> type of a decoded record
	 */
	private final class RelayedSource<T> implements RecordSource<T> {

		private final String kind;

		private final RecordSource<T> store;

		private final long waitMillis;

		RelayedSource(String kind, RecordSource<T> store, long waitMillis) {
			this.kind = kind;
			this.store = store;
			this.waitMillis = waitMillis;
		}

		@Override
		public Promise<Page<T>> readLatest() {
			List<String> relays = availableRelays();
			if (relays.isEmpty()) {
				return this.store.readLatest();
			}
			return queryHosts(relays, createRequest(this.kind, LogPosition.NONE, 0))
				.then((relayed) -> Promise.of(decodePage(relayed)), (failure) -> this.store.readLatest());
		}

		@Override
		public Promise<Page<T>> readFrom(LogPosition from, long storeWaitMillis) {
			List<String> relays = availableRelays();
			if (relays.isEmpty()) {
				return this.store.readFrom(from, storeWaitMillis);
			}
			return queryHosts(relays, createRequest(this.kind, from, this.waitMillis))
				.then((relayed) -> Promise.of(decodePage(relayed)), (failure) -> this.store.readFrom(from, 0));
		}

		@Override
		public Promise<Page<T>> readFromStore(LogPosition from) {
			return this.store.readFrom(from, 0);
		}

		@Override
		public Page<T> decode(Map<String, byte[]> values, LogPosition next) {
			return this.store.decode(values, next);
		}

		private Page<T> decodePage(RelayedReply relayed) {
			RelayReply reply = relayed.reply();
			Map<String, byte[]> values = new LinkedHashMap<>();
			List<String> undecodable = new ArrayList<>();
			for (RelayRecord record : reply.records()) {
				Try<byte[]> value = RecordCompression.decompress(record);
				value.onSuccess((bytes) -> values.put(record.name(), bytes))
					.onFailure((ex) -> undecodable.add(record.name()));
			}
			if (!undecodable.isEmpty()) {
				return Page.ofExpiredOffset(reply.epoch());
			}
			return decode(values, position(reply))
				.withRelay(new RelayOrigin(relayed.host(), reply.ageMillis(), reply.whole()));
		}

	}

}
