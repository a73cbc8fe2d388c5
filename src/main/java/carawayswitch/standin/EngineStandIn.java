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
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

import carawayswitch.endpoint.EngineAdapter;
import carawayswitch.http.Json;

/**
 * Stand-in for a model engine with continuous batching in order of arrival and a prefix
 * cache. Load reports are delayed; cache events are delayed, and some are lost. Public
 * methods are thread-safe.
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

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final int CACHED_PREFIX_CHARACTERS = 512;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int MAX_RETAINED_SEQUENCES = 1000;

	private static final int EVENT_LOSS_INTERVAL = 7;

	private final String name;

	private final EngineProfile profile;

	private final Deque<EngineSequence> waiting = new ArrayDeque<>();

	private final List<EngineSequence> running = new ArrayList<>();

	private final Map<String, EngineSequence> sequencesById = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EngineSequence> eldest) {
			return size() > MAX_RETAINED_SEQUENCES;
		}
	};

	private final LinkedHashMap<String, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);

	private final List<ObjectNode> cacheEvents = new ArrayList<>();

	private final Map<String, Integer> startedRequests = new HashMap<>();

	private final AtomicInteger prefilledTokens = new AtomicInteger();

	private final AtomicInteger startedRequestCount = new AtomicInteger();

	private ObjectNode loadReport = Json.object().put("running", 0).put("waiting", 0);

	private StandInServer server;

	private long highestFence = -1;

	private String activeModel = "";

	private volatile int truncateAfterTokens = -1;

	private volatile boolean stalled;

	private volatile int slowdown = 1;

	private volatile String crashingText = "";

	private final AtomicInteger crashCount = new AtomicInteger();

	private int step;

	private EngineStandIn(String name, EngineProfile profile) {
		this.name = name;
		this.profile = profile;
	}

	/**
	 * Starts a stand-in.
	 * @param name name of the engine and of its thread
	 * @param address address to listen on; port 0 selects an ephemeral port
	 * @param profile speed and capacity
	 * @return the running stand-in
	 * @throws IOException if the address cannot be bound
	 */
	public static EngineStandIn start(String name, InetSocketAddress address, EngineProfile profile)
			throws IOException {
		EngineStandIn standIn = new EngineStandIn(name, profile);
		standIn.server = StandInServer.start(name, address, (loop) -> standIn::serve);
		standIn.server.loop().execute(() -> standIn.scheduleStep(standIn.server.loop()));
		return standIn;
	}

	private void scheduleStep(Eventloop loop) {
		loop.delayBackground(this.profile.stepMillis() * this.slowdown, () -> {
			if (!this.stalled) {
				step();
			}
			scheduleStep(loop);
		});
		loop.delayBackground(this.profile.reportLagMillis(), delayedLoadReport());
	}

	private Runnable delayedLoadReport() {
		int runningCount = this.running.size();
		int waitingCount = this.waiting.size();
		return () -> this.loadReport = Json.object().put("running", runningCount).put("waiting", waitingCount);
	}

	private void step() {
		this.step++;
		while (this.running.size() < this.profile.maxRunning() && !this.waiting.isEmpty()) {
			this.running.add(this.waiting.poll());
		}
		int prefillBudget = this.profile.prefillTokensPerStep();
		for (Iterator<EngineSequence> sequences = this.running.iterator(); sequences.hasNext();) {
			EngineSequence sequence = sequences.next();
			if (sequence.remainingPrefillTokens > 0) {
				int processedTokens = Math.min(prefillBudget, sequence.remainingPrefillTokens);
				prefillBudget -= processedTokens;
				sequence.remainingPrefillTokens -= processedTokens;
				this.prefilledTokens.addAndGet(processedTokens);
			}
			else if (generateToken(sequence)) {
				sequences.remove();
			}
		}
	}

	private boolean generateToken(EngineSequence sequence) {
		sequence.generatedTokens++;
		sendGeneratedTokens(sequence);
		boolean truncate = this.truncateAfterTokens >= 0 && sequence.generatedTokens >= this.truncateAfterTokens
				&& sequence.generatedTokens < sequence.totalTokens;
		if (truncate) {
			this.truncateAfterTokens = -1;
			closeBody(sequence);
		}
		return sequence.generatedTokens >= sequence.totalTokens;
	}

	private static void sendGeneratedTokens(EngineSequence sequence) {
		if (sequence.body == null) {
			return;
		}
		while (sequence.sentTokens < sequence.generatedTokens) {
			sequence.body.add(sequence.event(sequence.sentTokens++));
		}
		if (sequence.generatedTokens >= sequence.totalTokens) {
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
			case "/load" -> StandInServer.json(200, Json.bytes(this.loadReport));
			case "/events" -> StandInServer.json(200, Json.bytes(takeCacheEvents()));
			case "/v1/completions", "/v1/chat/completions" -> withJsonBody(request, (tree) -> generate(request, tree));
			case "/cancel" -> withJsonBody(request, this::cancel);
			case "/resume" -> withJsonBody(request, (tree) -> resume(request, tree));
			case "/kv/export" -> withJsonBody(request, this::exportSequence);
			case "/kv/import" -> withJsonBody(request, this::importSequence);
			case "/orders" -> withJsonBody(request, this::acceptOrder);
			default -> StandInServer.json(404, new byte[0]);
		};
	}

	private static Promise<HttpResponse> withJsonBody(HttpRequest request, JsonHandler handler) {
		return request.loadBody(MAX_BODY_BYTES)
			.then((body) -> handler.handle(Json.parse(body.getArray()).getOrElse(Json.object())));
	}

	private Promise<HttpResponse> generate(HttpRequest request, JsonNode body) {
		boolean chat = request.getPath().endsWith("/chat/completions");
		StringBuilder prompt = new StringBuilder(body.path("prompt").asText());
		body.path("messages").forEach((message) -> prompt.append(message.path("content").asText()).append('\n'));
		String id = request.getHeader(StandInServer.REQUEST_ID_HEADER);
		int totalTokens = body.path("max_tokens").asInt(EngineSequence.DEFAULT_TOKENS);
		int promptTokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
		EngineSequence sequence = new EngineSequence(id, prompt.toString(), chat, totalTokens,
				promptTokens - cachedPrefixTokens(prompt));
		this.sequencesById.put(id, sequence);
		this.startedRequests.merge(id, 1, Integer::sum);
		this.startedRequestCount.incrementAndGet();
		this.waiting.add(sequence);
		Promise<HttpResponse> response = stream(request, sequence);
		if (!this.crashingText.isEmpty() && prompt.indexOf(this.crashingText) >= 0) {
			this.server.loop().delay(this.profile.stepMillis(), this::crash);
		}
		return response;
	}

	// Breaks off all answers and forgets them, as a restart of the process does.
	private void crash() {
		this.crashCount.incrementAndGet();
		this.sequencesById.values().forEach(EngineStandIn::closeBody);
		this.sequencesById.clear();
		this.running.clear();
		this.waiting.clear();
	}

	private int cachedPrefixTokens(CharSequence prompt) {
		if (prompt.length() < CACHED_PREFIX_CHARACTERS) {
			return 0;
		}
		String prefix = prompt.subSequence(0, CACHED_PREFIX_CHARACTERS).toString();
		boolean hit = this.prefixCache.put(prefix, CACHED_PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN) != null;
		publishCacheEvent(hit ? "hit" : "stored", prefix);
		while (this.prefixCache.size() * (CACHED_PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN) > this.profile
			.cacheTokens()) {
			String eldest = this.prefixCache.keySet().iterator().next();
			this.prefixCache.remove(eldest);
			publishCacheEvent("evicted", eldest);
		}
		return hit ? CACHED_PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN : 0;
	}

	private void publishCacheEvent(String kind, String prefix) {
		if (this.cacheEvents.size() % EVENT_LOSS_INTERVAL != EVENT_LOSS_INTERVAL - 1) {
			this.cacheEvents
				.add(Json.object().put("kind", kind).put("prefix", prefix.hashCode()).put("step", this.step));
		}
	}

	private JsonNode takeCacheEvents() {
		ObjectNode root = Json.object();
		ArrayNode list = root.putArray("events");
		this.cacheEvents.removeIf((event) -> {
			boolean due = event.path("step").asInt() < this.step - 10;
			if (due) {
				list.add(event);
			}
			return due;
		});
		return root;
	}

	private static Promise<HttpResponse> stream(HttpRequest request, EngineSequence sequence) {
		sequence.body = new EngineResponseBody();
		sendGeneratedTokens(sequence);
		return Promise.of(StandInServer.named(HttpResponse.ok200(), request)
			.withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
			.withBodyStream((sequence.body != null) ? sequence.body : completedBody(sequence))
			.build());
	}

	private static EngineResponseBody completedBody(EngineSequence sequence) {
		EngineResponseBody body = new EngineResponseBody();
		body.add(EngineAdapter.doneEvent());
		body.end();
		return body;
	}

	private Promise<HttpResponse> cancel(JsonNode body) {
		EngineSequence sequence = this.sequencesById.get(body.path("request_id").asText());
		if (sequence != null && sequence.generatedTokens < sequence.totalTokens) {
			this.waiting.remove(sequence);
			this.running.remove(sequence);
			closeBody(sequence);
		}
		return StandInServer.json(200, Json.bytes(Json.object().put("cancelled", sequence != null)));
	}

	private Promise<HttpResponse> resume(HttpRequest request, JsonNode requestBody) {
		EngineSequence sequence = this.sequencesById.get(requestBody.path("request_id").asText());
		if (sequence == null) {
			return StandInServer.json(404, Json.bytes(Json.object().put("error", "unknown request")));
		}
		closeBody(sequence);
		sequence.sentTokens = Math.min(requestBody.path("received").asInt(), sequence.generatedTokens);
		boolean active = this.running.contains(sequence) || this.waiting.contains(sequence);
		if (!active && sequence.generatedTokens < sequence.totalTokens) {
			this.waiting.add(sequence);
		}
		EngineResponseBody responseBody = new EngineResponseBody();
		sequence.body = responseBody;
		sendGeneratedTokens(sequence);
		return Promise.of(StandInServer.named(HttpResponse.ok200(), request)
			.withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
			.withBodyStream(responseBody)
			.build());
	}

	private Promise<HttpResponse> exportSequence(JsonNode body) {
		EngineSequence sequence = this.sequencesById.get(body.path("request_id").asText());
		if (sequence == null) {
			return StandInServer.json(404, new byte[0]);
		}
		return StandInServer.json(200,
				Json.bytes(Json.object()
					.put("request_id", sequence.id)
					.put("prompt", sequence.prompt)
					.put("chat", sequence.chat)
					.put("generated", sequence.generatedTokens)
					.put("total", sequence.totalTokens)));
	}

	private Promise<HttpResponse> importSequence(JsonNode body) {
		EngineSequence sequence = new EngineSequence(body.path("request_id").asText(), body.path("prompt").asText(),
				body.path("chat").asBoolean(), body.path("total").asInt(), 0);
		sequence.generatedTokens = body.path("generated").asInt();
		this.sequencesById.put(sequence.id, sequence);
		return StandInServer.json(200, Json.bytes(Json.object().put("imported", true)));
	}

	private Promise<HttpResponse> acceptOrder(JsonNode body) {
		long fence = body.path("fence").asLong();
		if (this.profile.checksFences() && fence < this.highestFence) {
			return StandInServer.json(409, Json.bytes(Json.object().put("fence", this.highestFence)));
		}
		this.highestFence = Math.max(this.highestFence, fence);
		this.activeModel = body.path("model").asText();
		return StandInServer.json(200,
				Json.bytes(Json.object().put("fence", this.highestFence).put("model", this.activeModel)));
	}

	/**
	 * Returns the complete text that an engine generates for a prompt.
	 * @param prompt the prompt; for a chat, the contents of its messages, each followed
	 * by a line feed
	 * @param tokens number of tokens to generate
	 * @return the text
	 */
	public static String expectedText(String prompt, int tokens) {
		return EngineSequence.text(prompt, tokens);
	}

	/**
	 * Ends one response early, without the final event, once its sequence has generated
	 * the given number of tokens.
	 * @param tokens number of tokens
	 */
	public void truncateAfter(int tokens) {
		this.truncateAfterTokens = tokens;
	}

	/**
	 * Stops or resumes the processing of steps; the HTTP server goes on responding.
	 * @param value true to stop, false to resume
	 */
	public void stalled(boolean value) {
		this.stalled = value;
	}

	/**
	 * Sets the factor by which the duration of a step is multiplied.
	 * @param factor the factor; 1 is the speed of the profile
	 */
	public void slowdown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Makes each request crash the engine whose prompt contains a text.
	 * @param text the text, or empty for none
	 */
	public void crashOn(String text) {
		this.crashingText = text;
	}

	/**
	 * Returns the number of crashes.
	 * @return the number
	 */
	public int crashes() {
		return this.crashCount.get();
	}

	/**
	 * Returns the number of completion requests that the engine has accepted.
	 * @return number of requests
	 */
	public int startedRequests() {
		return this.startedRequestCount.get();
	}

	/**
	 * Returns the number of prompt tokens that the engine has prefilled.
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
	 * Returns the base URL of the engine.
	 * @return the URL
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Closes the listener and all connections at once, as after a crash.
	 */
	public void stop() {
		this.server.stop();
	}

	private interface JsonHandler {

		Promise<HttpResponse> handle(JsonNode body);

	}

}
