package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import io.activej.reactor.nio.NioReactor;

/**
 * Makes the first calls of a starting host to the store as {@link StartupReads} decides,
 * and continues requests that wait for their results. Confined to the event loop thread.
 */
final class Startup {

	private final NioReactor reactor;

	private final RandomGenerator random;

	private final Map<String, Runnable> calls = new LinkedHashMap<>();

	private StartupReads reads;

	private List<Runnable> waiting = new ArrayList<>();

	private final BiConsumer<String, Boolean> onCallEnded;

	private final Runnable onEnded;

	/** Number of the latest timer; earlier ones have no effect. */
	private long latestTimer;

	/**
	 * Creates the calls of a host.
	 * @param reactor the event loop
	 * @param random source of the random pauses
	 * @param onCallEnded receives the name of each call that has ended, and whether it
	 * was successful
	 * @param onEnded runs once all calls have succeeded
	 */
	Startup(NioReactor reactor, RandomGenerator random, BiConsumer<String, Boolean> onCallEnded, Runnable onEnded) {
		this.onCallEnded = onCallEnded;
		this.onEnded = onEnded;
		this.reactor = reactor;
		this.random = random;
		this.reads = new StartupReads(List.of(), 0, random);
	}

	/**
	 * Adds a call behind those that were added before. It reports its end to
	 * {@link #succeeded} or {@link #failed}.
	 * @param name name of the call
	 * @param call begins the call
	 */
	void add(String name, Runnable call) {
		this.calls.put(name, call);
	}

	/**
	 * Begins with the first call.
	 * @param essentialCount number of calls, from the first one, without which no request
	 * can be served
	 */
	void start(int essentialCount) {
		this.reads = new StartupReads(List.copyOf(this.calls.keySet()), essentialCount, this.random);
		beginCalls();
	}

	void succeeded(String name) {
		this.reads.succeeded(name, Clocks.monotonicMillis());
		this.onCallEnded.accept(name, true);
		if (this.reads.ended()) {
			this.onEnded.run();
		}
		continueWaiting();
		this.reactor.postLast(this::beginCalls);
	}

	void failed(String name) {
		this.reads.failed(name, Clocks.monotonicMillis());
		this.onCallEnded.accept(name, false);
		continueWaiting();
		this.reactor.postLast(this::beginCalls);
	}

	private void beginCalls() {
		Optional<String> next = this.reads.begin(Clocks.monotonicMillis());
		while (next.isPresent()) {
			this.calls.get(next.get()).run();
			next = this.reads.begin(Clocks.monotonicMillis());
		}
		long timer = ++this.latestTimer;
		long checkMillis = this.reads.nextCheckMillis(Clocks.monotonicMillis());
		if (checkMillis >= 0) {
			this.reactor.delayBackground(Math.max(1, checkMillis), () -> {
				if (timer == this.latestTimer) {
					beginCalls();
				}
			});
		}
	}

	/**
	 * Returns when the essential calls are expected to have succeeded.
	 * @return the time from now in milliseconds, or 0 if they have
	 */
	long forecastMillis() {
		return this.reads.forecastMillis(Clocks.monotonicMillis());
	}

	/**
	 * Runs a task once when one of the calls has ended or the state of the host may
	 * otherwise have changed.
	 * @param task the task, which does not throw
	 */
	void await(Runnable task) {
		this.waiting.add(task);
	}

	/** Continues the requests that wait, in the order of their arrival. */
	void continueWaiting() {
		List<Runnable> tasks = this.waiting;
		this.waiting = new ArrayList<>();
		tasks.forEach(Runnable::run);
	}

}
