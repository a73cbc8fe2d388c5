package carawayswitch.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Inference engine on the virtual clock, with continuous batching, chunked prefill and a
 * prefix cache. Admits runs in order of arrival and ignores priorities. Not safe for use
 * by several threads.
 */
final class SimulatedEngine {

	private final String id;

	private final EngineModel model;

	private final EventQueue clock;

	private final Deque<Run> waiting = new ArrayDeque<>();

	private final List<Run> running = new ArrayList<>();

	private final LinkedHashMap<Long, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedPrefixTokens;

	private long usedKvTokens;

	private boolean stepping;

	private boolean failed;

	private boolean dark;

	private double slowdownFactor = 1;

	private long processedPromptTokens;

	private long generatedTokens;

	SimulatedEngine(String id, EngineModel model, EventQueue clock) {
		this.id = id;
		this.model = model;
		this.clock = clock;
	}

	String id() {
		return this.id;
	}

	EngineModel model() {
		return this.model;
	}

	boolean failed() {
		return this.failed;
	}

	/**
	 * Returns the number of waiting and running runs.
	 * @return number of runs
	 */
	int outstanding() {
		return this.waiting.size() + this.running.size();
	}

	long processedPromptTokens() {
		return this.processedPromptTokens;
	}

	long generatedTokens() {
		return this.generatedTokens;
	}

	/**
	 * Sets the factor on the time of each following step.
	 * @param slowdownFactor factor, 1 for the speed of the model
	 */
	void slowdownFactor(double slowdownFactor) {
		this.slowdownFactor = slowdownFactor;
	}

	/**
	 * Queues a run. A run that was cancelled may be submitted again and keeps the tokens
	 * generated so far.
	 * @param run the run
	 */
	void submit(Run run) {
		run.engine = this;
		this.waiting.add(run);
		startIfIdle();
	}

	/**
	 * Removes a waiting or running run without notifying its listener.
	 * @param run the run
	 */
	void cancel(Run run) {
		if (this.running.remove(run)) {
			this.usedKvTokens -= run.kvTokens();
		}
		this.waiting.remove(run);
	}

	/**
	 * Fails the engine for good and notifies the listeners of all its runs.
	 */
	void fail() {
		this.failed = true;
		List<Run> interrupted = new ArrayList<>(this.running);
		interrupted.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		interrupted.forEach((run) -> run.listener.onEngineFailed(run));
	}

	/**
	 * Makes the engine fall silent, without notice to its runs, or go on.
	 * @param dark true for a silent engine
	 */
	void dark(boolean dark) {
		this.dark = dark;
		startIfIdle();
	}

	private void startIfIdle() {
		if (!this.stepping && !this.failed && !this.dark) {
			this.stepping = true;
			startStep();
		}
	}

	private void startStep() {
		admit();
		if (this.running.isEmpty()) {
			this.stepping = false;
			return;
		}
		int maxPrefillTokens = this.model.promptTokensPerStep();
		int prefillTokens = 0;
		for (Run run : this.running) {
			int chunkTokens = Math.min(maxPrefillTokens - prefillTokens, run.remainingPromptTokens);
			run.remainingPromptTokens -= chunkTokens;
			run.processedPromptTokens += chunkTokens;
			prefillTokens += chunkTokens;
		}
		this.processedPromptTokens += prefillTokens;
		double stepMillis = this.model.stepMillis() + this.running.size() * this.model.millisPerSequence()
				+ prefillTokens * this.model.millisPerPromptToken();
		this.clock.schedule(stepMillis * this.slowdownFactor, this::endStep);
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.running.size() < this.model.maxRunning()) {
			Run next = this.waiting.peek();
			boolean fits = this.running.isEmpty() || this.usedKvTokens + next.kvTokens() <= this.model.kvTokens();
			if (!fits) {
				return;
			}
			this.waiting.poll();
			this.usedKvTokens += next.kvTokens();
			next.remainingPromptTokens = next.request.promptTokens() + next.generatedTokens - touchPrefixCache(next);
			this.running.add(next);
		}
	}

	/**
	 * Puts the prefix of a run into the cache and evicts the least recently used prefixes
	 * while the cache exceeds half of the KV capacity.
	 * @param run the run
	 * @return length of the prefix in tokens if it was cached before, else 0
	 */
	private int touchPrefixCache(Run run) {
		long prefix = run.request.prefixHash();
		if (prefix == 0) {
			return 0;
		}
		Integer cachedTokens = this.prefixCache.put(prefix, run.request.prefixTokens());
		this.cachedPrefixTokens += (cachedTokens != null) ? 0 : run.request.prefixTokens();
		var eldest = this.prefixCache.entrySet().iterator();
		while (this.cachedPrefixTokens > this.model.kvTokens() / 2) {
			Map.Entry<Long, Integer> evicted = eldest.next();
			this.cachedPrefixTokens -= evicted.getValue();
			eldest.remove();
		}
		return (cachedTokens != null) ? cachedTokens : 0;
	}

	private void endStep() {
		if (this.failed) {
			return;
		}
		if (this.dark) {
			this.stepping = false;
			return;
		}
		for (Run run : List.copyOf(this.running)) {
			if (run.remainingPromptTokens > 0) {
				continue;
			}
			run.generatedTokens++;
			this.generatedTokens++;
			run.listener.onToken(run);
			if (run.generatedTokens >= run.request.outputTokens() && this.running.remove(run)) {
				this.usedKvTokens -= run.kvTokens();
				run.listener.onDone(run);
			}
		}
		startStep();
	}

	/**
	 * Receives the progress of a run.
	 */
	interface Listener {

		/**
		 * Called after each generated token.
		 * @param run the run
		 */
		void onToken(Run run);

		/**
		 * Called when all tokens are generated.
		 * @param run the run
		 */
		void onDone(Run run);

		/**
		 * Called when the engine fails before the run is done.
		 * @param run the run
		 */
		void onEngineFailed(Run run);

	}

	/**
	 * Generation of one answer at an engine. Not safe for use by several threads.
	 */
	static final class Run {

		final Request request;

		final Listener listener;

		SimulatedEngine engine;

		int remainingPromptTokens;

		int processedPromptTokens;

		int generatedTokens;

		Run(Request request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		int kvTokens() {
			return this.request.promptTokens() + this.request.outputTokens();
		}

	}

}
