package carawayswitch.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine on the virtual clock: batches continuously in order of arrival, knows no
 * priorities, caches prefixes in limited memory. Not safe for use by several threads.
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

	int outstanding() {
		return this.waiting.size() + this.running.size();
	}

	long processedPromptTokens() {
		return this.processedPromptTokens;
	}

	long generatedTokens() {
		return this.generatedTokens;
	}

	void slowdownFactor(double factor) {
		this.slowdownFactor = factor;
	}

	void submit(Run run) {
		run.engine = this;
		this.waiting.add(run);
		startIfIdle();
	}

	void cancel(Run run) {
		if (this.running.remove(run)) {
			this.usedKvTokens -= run.kvTokens();
		}
		this.waiting.remove(run);
	}

	void fail() {
		this.failed = true;
		List<Run> interrupted = new ArrayList<>(this.running);
		interrupted.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		interrupted.forEach((run) -> run.listener.onEngineFailed(run));
	}

	private void startIfIdle() {
		if (!this.stepping && !this.failed) {
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
		double millis = this.model.stepMillis() + this.running.size() * this.model.millisPerSequence()
				+ prefillTokens * this.model.millisPerPromptToken();
		this.clock.schedule(millis * this.slowdownFactor, this::endStep);
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

		void onToken(Run run);

		void onDone(Run run);

		void onEngineFailed(Run run);

	}

	/**
	 * One answer at an engine.
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
