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
final class FakeEngine {

	private final String id;

	private final EngineModel model;

	private final EventQueue clock;

	private final Deque<Run> waiting = new ArrayDeque<>();

	private final List<Run> running = new ArrayList<>();

	private final LinkedHashMap<Long, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private long prefixTokens;

	private long kvUsed;

	private boolean stepping;

	private boolean lost;

	private double slowdown = 1;

	private long processedPromptTokens;

	private long generatedTokens;

	FakeEngine(String id, EngineModel model, EventQueue clock) {
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

	boolean lost() {
		return this.lost;
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

	void slowdown(double factor) {
		this.slowdown = factor;
	}

	void submit(Run run) {
		run.engine = this;
		this.waiting.add(run);
		wake();
	}

	void cancel(Run run) {
		if (this.running.remove(run)) {
			this.kvUsed -= run.kvTokens();
		}
		this.waiting.remove(run);
	}

	void lose() {
		this.lost = true;
		List<Run> broken = new ArrayList<>(this.running);
		broken.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		broken.forEach((run) -> run.listener.onBroken(run));
	}

	private void wake() {
		if (!this.stepping && !this.lost) {
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
		int budget = this.model.promptTokensPerStep();
		int processed = 0;
		for (Run run : this.running) {
			int part = Math.min(budget - processed, run.promptLeft);
			run.promptLeft -= part;
			run.promptProcessed += part;
			processed += part;
		}
		this.processedPromptTokens += processed;
		double millis = this.model.stepMillis() + this.running.size() * this.model.millisPerSequence()
				+ processed * this.model.millisPerPromptToken();
		this.clock.after(millis * this.slowdown, this::endStep);
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.running.size() < this.model.maxRunning()) {
			Run next = this.waiting.peek();
			boolean fits = this.running.isEmpty() || this.kvUsed + next.kvTokens() <= this.model.kvTokens();
			if (!fits) {
				return;
			}
			this.waiting.poll();
			this.kvUsed += next.kvTokens();
			next.promptLeft = next.request.promptTokens() + next.generated - cached(next);
			this.running.add(next);
		}
	}

	private int cached(Run run) {
		long prefix = run.request.prefixHash();
		if (prefix == 0) {
			return 0;
		}
		Integer known = this.prefixes.put(prefix, run.request.prefixTokens());
		this.prefixTokens += (known != null) ? 0 : run.request.prefixTokens();
		var eldest = this.prefixes.entrySet().iterator();
		while (this.prefixTokens > this.model.kvTokens() / 2) {
			Map.Entry<Long, Integer> evicted = eldest.next();
			this.prefixTokens -= evicted.getValue();
			eldest.remove();
		}
		return (known != null) ? known : 0;
	}

	private void endStep() {
		if (this.lost) {
			return;
		}
		for (Run run : List.copyOf(this.running)) {
			if (run.promptLeft > 0) {
				continue;
			}
			run.generated++;
			this.generatedTokens++;
			run.listener.onToken(run);
			if (run.generated >= run.request.outputTokens() && this.running.remove(run)) {
				this.kvUsed -= run.kvTokens();
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

		void onBroken(Run run);

	}

	/**
	 * One answer at an engine.
	 */
	static final class Run {

		final Request request;

		final Listener listener;

		FakeEngine engine;

		int promptLeft;

		int promptProcessed;

		int generated;

		Run(Request request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		int kvTokens() {
			return this.request.promptTokens() + this.request.outputTokens();
		}

	}

}
