package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

import carawayswitch.endpoint.EngineAdapter;
import carawayswitch.http.Json;

/**
 * Stand-in for a model engine: batches continuously in order of arrival, caches prefixes,
 * reports load late, publishes cache events late and with gaps. Safe for use by several
 * threads.
 *
 * <pre>
 * POST /v1/completions, /v1/chat/completions
 * POST /cancel      {"request_id": ...}
 * POST /resume      {"request_id": ..., "received": N}
 * POST /kv/export   {"request_id": ...}
 * POST /kv/import   {"request_id": ..., "prompt": ..., "generated": N, "total": M}
 * POST /orders      {"fence": N, "model": ...}
 * GET  /load, /events
 * </pre>
 */
public final class EngineStandIn {

	private static final int BODY_LIMIT = 64 * 1024 * 1024;

	private static final int PREFIX_CHARACTERS = 512;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int KEPT_SEQUENCES = 1000;

	private static final int EVENT_GAP = 7;

	private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

	private final String name;

	private final EngineProfile profile;

	private final Deque<EngineSequence> waiting = new ArrayDeque<>();

	private final List<EngineSequence> running = new ArrayList<>();

	private final Map<String, EngineSequence> known = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EngineSequence> eldest) {
			return size() > KEPT_SEQUENCES;
		}
	};

	private final LinkedHashMap<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);

	private final List<ObjectNode> events = new ArrayList<>();

	private final Map<String, Integer> started = new HashMap<>();

	private final AtomicInteger prefilledTokens = new AtomicInteger();

	private final AtomicInteger startedTotal = new AtomicInteger();

	private ObjectNode report = Json.object().put("running", 0).put("waiting", 0);

	private StandInServer server;

	private long fence = -1;

	private String model = "";

	private volatile int breakAfterTokens = -1;

	private volatile boolean stalled;

	private volatile int slowdown = 1;

	private int step;

	private EngineStandIn(String name, EngineProfile profile) {
		this.name = name;
		this.profile = profile;
	}

	/**
	 * Starts a stand-in.
	 * @param name name of the engine
	 * @param address address of the listener; port 0 lets the system choose one
	 * @param profile speed and limits
	 * @return the running stand-in
	 * @throws IOException if the address cannot be bound
	 */
	public static EngineStandIn start(String name, InetSocketAddress address, EngineProfile profile)
			throws IOException {
		EngineStandIn standIn = new EngineStandIn(name, profile);
		standIn.server = StandInServer.start(name, address, (loop) -> standIn::serve);
		standIn.server.loop().execute(() -> standIn.schedule(standIn.server.loop()));
		return standIn;
	}

	private void schedule(Eventloop loop) {
		loop.delayBackground(this.profile.stepMillis() * this.slowdown, () -> {
			if (!this.stalled) {
				step();
			}
			schedule(loop);
		});
		loop.delayBackground(this.profile.reportLagMillis(), reporter());
	}

	private Runnable reporter() {
		int runningNow = this.running.size();
		int waitingNow = this.waiting.size();
		return () -> this.report = Json.object().put("running", runningNow).put("waiting", waitingNow);
	}

	private void step() {
		this.step++;
		while (this.running.size() < this.profile.maxRunning() && !this.waiting.isEmpty()) {
			this.running.add(this.waiting.poll());
		}
		int prefillBudget = this.profile.prefillTokensPerStep();
		for (Iterator<EngineSequence> sequences = this.running.iterator(); sequences.hasNext();) {
			EngineSequence sequence = sequences.next();
			if (sequence.prefillLeft > 0) {
				int processed = Math.min(prefillBudget, sequence.prefillLeft);
				prefillBudget -= processed;
				sequence.prefillLeft -= processed;
				this.prefilledTokens.addAndGet(processed);
			}
			else if (advance(sequence)) {
				sequences.remove();
			}
		}
	}

	private boolean advance(EngineSequence sequence) {
		sequence.generated++;
		send(sequence);
		boolean breaks = this.breakAfterTokens >= 0 && sequence.generated >= this.breakAfterTokens
				&& sequence.generated < sequence.totalTokens;
		if (breaks) {
			this.breakAfterTokens = -1;
			closeBody(sequence);
		}
		return sequence.generated >= sequence.totalTokens;
	}

	private static void send(EngineSequence sequence) {
		if (sequence.body == null) {
			return;
		}
		while (sequence.sent < sequence.generated) {
			sequence.body.add(sequence.event(sequence.sent++));
		}
		if (sequence.generated >= sequence.totalTokens) {
			sequence.body.add(EngineAdapter.doneEvent());
			sequence.body.end();
			sequence.body = null;
		}
	}

	private static void closeBody(EngineSequence sequence) {
		if (sequence.body != null) {
			sequence.body.end();
			sequence.body = null;
		}
	}

	private Promise<HttpResponse> serve(HttpRequest request) {
		return switch (request.getPath()) {
			case "/load" -> StandInServer.json(200, Json.bytes(this.report));
			case "/events" -> StandInServer.json(200, Json.bytes(takeEvents()));
			case "/v1/completions", "/v1/chat/completions" -> withBody(request, (tree) -> generate(request, tree));
			case "/cancel" -> withBody(request, this::cancel);
			case "/resume" -> withBody(request, this::resume);
			case "/kv/export" -> withBody(request, this::export);
			case "/kv/import" -> withBody(request, this::restore);
			case "/orders" -> withBody(request, this::order);
			default -> StandInServer.json(404, new byte[0]);
		};
	}

	private static Promise<HttpResponse> withBody(HttpRequest request, Handler handler) {
		return request.loadBody(BODY_LIMIT)
			.then((body) -> handler.handle(Json.parse(body.getArray()).getOrElse(Json.object())));
	}

	private Promise<HttpResponse> generate(HttpRequest request, JsonNode tree) {
		boolean chat = request.getPath().endsWith("/chat/completions");
		StringBuilder prompt = new StringBuilder(tree.path("prompt").asText());
		tree.path("messages").forEach((message) -> prompt.append(message.path("content").asText()).append('\n'));
		String id = request.getHeader(REQUEST_ID);
		int total = tree.path("max_tokens").asInt(EngineSequence.DEFAULT_TOKENS);
		int tokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
		EngineSequence sequence = new EngineSequence(id, prompt.toString(), chat, total, tokens - cached(prompt));
		this.known.put(id, sequence);
		this.started.merge(id, 1, Integer::sum);
		this.startedTotal.incrementAndGet();
		this.waiting.add(sequence);
		return stream(sequence);
	}

	private int cached(CharSequence prompt) {
		if (prompt.length() < PREFIX_CHARACTERS) {
			return 0;
		}
		String prefix = prompt.subSequence(0, PREFIX_CHARACTERS).toString();
		boolean hit = this.cache.put(prefix, PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN) != null;
		publish(hit ? "hit" : "stored", prefix);
		while (this.cache.size() * (PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN) > this.profile.cacheTokens()) {
			String eldest = this.cache.keySet().iterator().next();
			this.cache.remove(eldest);
			publish("evicted", eldest);
		}
		return hit ? PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN : 0;
	}

	private void publish(String kind, String prefix) {
		if (this.events.size() % EVENT_GAP != EVENT_GAP - 1) {
			this.events.add(Json.object().put("kind", kind).put("prefix", prefix.hashCode()).put("step", this.step));
		}
	}

	private JsonNode takeEvents() {
		ObjectNode root = Json.object();
		ArrayNode list = root.putArray("events");
		this.events.removeIf((event) -> {
			boolean late = event.path("step").asInt() < this.step - 10;
			if (late) {
				list.add(event);
			}
			return late;
		});
		return root;
	}

	private static Promise<HttpResponse> stream(EngineSequence sequence) {
		sequence.body = new EngineBody();
		send(sequence);
		return Promise.of(HttpResponse.ok200()
			.withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
			.withBodyStream((sequence.body != null) ? sequence.body : finished(sequence))
			.build());
	}

	private static EngineBody finished(EngineSequence sequence) {
		EngineBody body = new EngineBody();
		body.add(EngineAdapter.doneEvent());
		body.end();
		return body;
	}

	private Promise<HttpResponse> cancel(JsonNode tree) {
		EngineSequence sequence = this.known.get(tree.path("request_id").asText());
		if (sequence != null && sequence.generated < sequence.totalTokens) {
			this.waiting.remove(sequence);
			this.running.remove(sequence);
			closeBody(sequence);
		}
		return StandInServer.json(200, Json.bytes(Json.object().put("cancelled", sequence != null)));
	}

	private Promise<HttpResponse> resume(JsonNode tree) {
		EngineSequence sequence = this.known.get(tree.path("request_id").asText());
		if (sequence == null) {
			return StandInServer.json(404, Json.bytes(Json.object().put("error", "unknown request")));
		}
		closeBody(sequence);
		sequence.sent = Math.min(tree.path("received").asInt(), sequence.generated);
		boolean active = this.running.contains(sequence) || this.waiting.contains(sequence);
		if (!active && sequence.generated < sequence.totalTokens) {
			this.waiting.add(sequence);
		}
		EngineBody body = new EngineBody();
		sequence.body = body;
		send(sequence);
		return Promise.of(HttpResponse.ok200()
			.withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
			.withBodyStream(body)
			.build());
	}

	private Promise<HttpResponse> export(JsonNode tree) {
		EngineSequence sequence = this.known.get(tree.path("request_id").asText());
		if (sequence == null) {
			return StandInServer.json(404, new byte[0]);
		}
		return StandInServer.json(200,
				Json.bytes(Json.object()
					.put("request_id", sequence.id)
					.put("prompt", sequence.prompt)
					.put("chat", sequence.chat)
					.put("generated", sequence.generated)
					.put("total", sequence.totalTokens)));
	}

	private Promise<HttpResponse> restore(JsonNode tree) {
		EngineSequence sequence = new EngineSequence(tree.path("request_id").asText(), tree.path("prompt").asText(),
				tree.path("chat").asBoolean(), tree.path("total").asInt(), 0);
		sequence.generated = tree.path("generated").asInt();
		this.known.put(sequence.id, sequence);
		return StandInServer.json(200, Json.bytes(Json.object().put("imported", true)));
	}

	private Promise<HttpResponse> order(JsonNode tree) {
		long given = tree.path("fence").asLong();
		if (this.profile.checksFences() && given < this.fence) {
			return StandInServer.json(409, Json.bytes(Json.object().put("fence", this.fence)));
		}
		this.fence = Math.max(this.fence, given);
		this.model = tree.path("model").asText();
		return StandInServer.json(200, Json.bytes(Json.object().put("fence", this.fence).put("model", this.model)));
	}

	/**
	 * Returns the whole text that an engine generates for a prompt.
	 * @param prompt the prompt; messages of a chat are joined by line ends
	 * @param tokens length of the answer in tokens
	 * @return the text
	 */
	public static String expectedText(String prompt, int tokens) {
		return EngineSequence.text(prompt, tokens);
	}

	/**
	 * Breaks the next answer off after some tokens.
	 * @param tokens number of tokens
	 */
	public void breakAfter(int tokens) {
		this.breakAfterTokens = tokens;
	}

	/**
	 * Makes the engine stand still or go on.
	 * @param value true to stand still
	 */
	public void stall(boolean value) {
		this.stalled = value;
	}

	/**
	 * Makes the engine slower.
	 * @param factor how many times slower
	 */
	public void slowdown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Returns the number of requests that the engine has taken in.
	 * @return number of requests
	 */
	public int started() {
		return this.startedTotal.get();
	}

	/**
	 * Returns the number of prompt tokens that the engine has processed.
	 * @return number of tokens
	 */
	public int prefilledTokens() {
		return this.prefilledTokens.get();
	}

	/**
	 * Returns the name of the engine.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the base URL.
	 * @return the URL
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Stops the stand-in, as a crash would.
	 */
	public void stop() {
		this.server.stop();
	}

	private interface Handler {

		Promise<HttpResponse> handle(JsonNode tree);

	}

}
