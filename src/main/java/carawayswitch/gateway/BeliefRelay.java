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
 * Passes records of the store on between hosts, so that in a large fleet a few hosts of
 * each availability zone read the store for all. Hosts ask only hosts that rank higher,
 * so that no two ask each other. A host whose relays do not answer reads the store.
 * Confined to the thread of its event loop.
 */
final class BeliefRelay {

	/** Time for an answer beyond the wait that was asked for, in milliseconds. */
	static final long ANSWER_MILLIS = 300;

	/** Time in milliseconds for which a host that has not answered is not asked. */
	static final long AVOID_MILLIS = 5000;

	private final NioReactor reactor;

	private final GatewayPeers peers;

	private final Map<String, RelayLog<?>> logs = new HashMap<>();

	/** Asks of other hosts that wait for a record, in the order of their arrival. */
	private final Map<String, Held> held = new LinkedHashMap<>();

	private final Map<Long, Consumer<RelayReply>> asked = new HashMap<>();

	private final Map<String, Long> avoidedUntil = new HashMap<>();

	private long sequence;

	BeliefRelay(NioReactor reactor, GatewayPeers peers) {
		this.reactor = reactor;
		this.peers = peers;
	}

	/**
	 * Creates the log of one kind of records, from which other hosts are answered.
	 * @param <T> what a record says
	 * @param kind name of the kind
	 * @return the log, to be updated by its reader
	 */
	<T> RelayLog<T> log(String kind) {
		RelayLog<T> log = new RelayLog<>();
		log.onChange(() -> answerHeld(kind));
		this.logs.put(kind, log);
		return log;
	}

	/**
	 * Creates a source that asks other hosts where the fleet is large.
	 * @param <T> what a record says
	 * @param kind name of the kind
	 * @param store source that reads the store
	 * @param waitMillis time that another host waits for a record, in milliseconds
	 * @return the source
	 */
	<T> BeliefSource<T> source(String kind, BeliefSource<T> store, long waitMillis) {
		return new RelayedSource<>(kind, store, waitMillis);
	}

	/**
	 * Handles a message of another host.
	 * @param peer id of the host
	 * @param message the message
	 * @return false if the message does not concern relays
	 */
	boolean onMessage(String peer, Message message) {
		if (message instanceof RelayAsk ask) {
			onAsk(peer, ask);
		}
		else if (message instanceof RelayReply reply) {
			Consumer<RelayReply> waiting = this.asked.remove(reply.sequence());
			if (waiting != null) {
				waiting.accept(reply);
			}
		}
		else {
			return false;
		}
		return true;
	}

	private void onAsk(String peer, RelayAsk ask) {
		RelayLog<?> log = this.logs.get(ask.kind());
		Held entry = new Held(peer, ask, Clocks.reading());
		if (log == null || ask.waitMillis() == 0 || log.news(ask.fromOffset())) {
			answer(entry);
			return;
		}
		String key = peer + ' ' + ask.kind();
		this.held.put(key, entry);
		this.reactor.delayBackground(ask.waitMillis(), () -> {
			if (this.held.remove(key, entry)) {
				answer(entry);
			}
		});
	}

	private void answerHeld(String kind) {
		for (Map.Entry<String, Held> each : List.copyOf(this.held.entrySet())) {
			Held entry = each.getValue();
			if (entry.ask().kind().equals(kind) && this.held.remove(each.getKey(), entry)) {
				answer(entry);
			}
		}
	}

	private void answer(Held entry) {
		RelayAsk ask = entry.ask();
		RelayLog<?> log = this.logs.get(ask.kind());
		this.peers.reply(entry.peer(),
				(log != null) ? log.answer(ask.sequence(), ask.fromOffset(), entry.arrived(), Clocks.reading())
						: RelayLog.notCurrent(ask.sequence()));
	}

	// Asks one host after the other; fails if none answers.
	private Promise<Answer> ask(List<String> hosts, RelayAsk ask) {
		String host = hosts.get(0);
		SettablePromise<RelayReply> result = new SettablePromise<>();
		this.asked.put(ask.sequence(), (reply) -> {
			if (!reply.current()) {
				avoid(host);
			}
			result.trySet(reply);
		});
		Runnable unanswered = () -> {
			if (this.asked.remove(ask.sequence()) != null) {
				avoid(host);
				result.trySet(RelayLog.notCurrent(ask.sequence()));
			}
		};
		this.reactor.delayBackground(ask.waitMillis() + ANSWER_MILLIS, unanswered::run);
		this.peers.send(host, ask, unanswered);
		return result.then((reply) -> {
			if (reply.current()) {
				return Promise.of(new Answer(host, reply));
			}
			return (hosts.size() > 1) ? ask(hosts.subList(1, hosts.size()), again(ask))
					: Promise.ofException(new IllegalStateException("no other host can read the store"));
		});
	}

	private RelayAsk again(RelayAsk ask) {
		return new RelayAsk(this.sequence++, ask.kind(), ask.fromOffset(), 0);
	}

	private void avoid(String host) {
		this.avoidedUntil.put(host, Clocks.steadyMillis() + AVOID_MILLIS);
	}

	private List<String> relays() {
		long now = Clocks.steadyMillis();
		this.avoidedUntil.values().removeIf((until) -> now >= until);
		return this.peers.relays(this.avoidedUntil.keySet());
	}

	/**
	 * An ask that waits for a record. Immutable.
	 *
	 * @param peer id of the asking host
	 * @param ask the ask
	 * @param arrived clocks when it arrived
	 */
	private record Held(String peer, RelayAsk ask, Confirmation arrived) {

	}

	/**
	 * An answer and who gave it. Immutable.
	 *
	 * @param host id of the host
	 * @param reply the answer
	 */
	private record Answer(String host, RelayReply reply) {

	}

	/**
	 * Records that other hosts pass on, or that the store is asked for where there are
	 * none. Confined to the thread of the event loop.
	 *
	 * @param <T> what a record says
	 */
	private final class RelayedSource<T> implements BeliefSource<T> {

		private final String kind;

		private final BeliefSource<T> store;

		private final long waitMillis;

		RelayedSource(String kind, BeliefSource<T> store, long waitMillis) {
			this.kind = kind;
			this.store = store;
			this.waitMillis = waitMillis;
		}

		@Override
		public Promise<Page<T>> newest() {
			List<String> relays = relays();
			if (relays.isEmpty()) {
				return this.store.newest();
			}
			return ask(relays, new RelayAsk(BeliefRelay.this.sequence++, this.kind, -1, 0))
				.then((answer) -> Promise.of(page(answer)), (failure) -> this.store.newest());
		}

		@Override
		public Promise<Page<T>> after(long offset, long storeWaitMillis) {
			List<String> relays = relays();
			if (relays.isEmpty()) {
				return this.store.after(offset, storeWaitMillis);
			}
			return ask(relays, new RelayAsk(BeliefRelay.this.sequence++, this.kind, offset, this.waitMillis))
				.then((answer) -> Promise.of(page(answer)), (failure) -> this.store.after(offset, 0));
		}

		@Override
		public Promise<Page<T>> confirmed(long offset) {
			return this.store.after(offset, 0);
		}

		@Override
		public Page<T> decode(Map<String, byte[]> values, long nextOffset) {
			return this.store.decode(values, nextOffset);
		}

		private Page<T> page(Answer answer) {
			RelayReply reply = answer.reply();
			Map<String, byte[]> values = new LinkedHashMap<>();
			List<String> damaged = new ArrayList<>();
			for (RelayRecord each : reply.records()) {
				Try<byte[]> value = RecordCompression.decompress(each);
				value.onSuccess((bytes) -> values.put(each.name(), bytes)).onFailure((ex) -> damaged.add(each.name()));
			}
			if (!damaged.isEmpty()) {
				return Page.gone();
			}
			return decode(values, reply.nextOffset())
				.passedOnBy(new Relay(answer.host(), reply.ageMillis(), reply.whole()));
		}

	}

}
