package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.List;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;

/**
 * Epoch of the platform's store as this host knows it. The epoch rises each time that the
 * store is restored from an older copy; whatever the store had acknowledged since that
 * copy is gone until its author writes it again. The epoch is settled once the authors
 * have had time to do so. Confined to the event loop thread.
 */
final class StoreEpoch {

	/**
	 * Time in milliseconds from the first read in an epoch until it is settled. Operators
	 * and live endpoints write their records again within it.
	 */
	static final long SETTLE_MILLIS = 2000;

	/** Epoch of a store that was never restored. */
	private static final long FIRST = 1;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final List<Listener> listeners = new ArrayList<>();

	private long current = FIRST;

	private long settled = FIRST;

	StoreEpoch(NioReactor reactor, DecisionLog log) {
		this.reactor = reactor;
		this.log = log;
	}

	void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records that the store, or a host that relays its records, has answered a read.
	 * @param epoch epoch of the store
	 */
	void onRead(long epoch) {
		if (epoch <= this.current) {
			return;
		}
		this.log.write(LogEvent.STORE_EPOCH_CHANGED, "before", this.current, "epoch", epoch, "settled",
				isSettled(epoch));
		this.current = epoch;
		this.listeners.forEach((listener) -> listener.onEpoch(epoch));
		this.reactor.delayBackground(SETTLE_MILLIS, () -> onSettled(epoch));
	}

	/**
	 * Records that an epoch has settled.
	 * @param epoch epoch that has settled at this host or at another one
	 */
	void onSettled(long epoch) {
		if (epoch > this.settled) {
			this.settled = epoch;
			this.log.write(LogEvent.STORE_EPOCH_SETTLED, "epoch", epoch);
			this.listeners.forEach((listener) -> listener.onSettled(epoch));
		}
	}

	/**
	 * Returns whether a store was never restored. A store, or a relay, that names no
	 * epoch counts as one.
	 * @param epoch epoch of the store, or 0 if it is unknown
	 * @return true if nothing can be lost
	 */
	static boolean isFirst(long epoch) {
		return epoch <= FIRST;
	}

	boolean isSettled(long epoch) {
		return epoch <= this.settled;
	}

	/**
	 * Returns the latest epoch that has settled.
	 * @return the epoch
	 */
	long settledEpoch() {
		return this.settled;
	}

	/**
	 * Receives changes of the epoch.
	 */
	interface Listener {

		/**
		 * Handles a new epoch.
		 * @param epoch the epoch
		 */
		void onEpoch(long epoch);

		/**
		 * Handles an epoch that has settled.
		 * @param epoch the epoch
		 */
		void onSettled(long epoch);

	}

}
