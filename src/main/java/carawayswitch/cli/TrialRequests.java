package carawayswitch.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.http.Json;
import carawayswitch.outcome.TimeOrderedId;
import carawayswitch.standin.EngineStandIn;
import carawayswitch.standin.ExampleConfiguration;
import carawayswitch.standin.TrialFleet;

/**
 * Sends one sample request of each kind of work to a trial fleet and checks the content
 * of the answers. Not safe for use by several threads.
 */
final class TrialRequests {

	private static final long READY_TIMEOUT_MILLIS = 20_000;

	private static final long READY_CHECK_INTERVAL_MILLIS = 50;

	private static final List<Sample> SAMPLES = List.of(
			new Sample("compliance draft", "north/vapi-yard", "report", "urgent", "assistant", 200, true, false),
			new Sample("weigh-slip summary", "north/naroda-yard", "summary", "standard", "assistant", 40, false, false),
			new Sample("crate tag", "north/vapi-yard", "tag", "background", "assistant", 4, false, false),
			new Sample("pickup booking", "north/vapi-yard", "booking", "urgent", "pickups", 0, false, true),
			new Sample("crate status", "north/naroda-yard", "status", "background", "status", 0, false, false),
			new Sample("size chat", "south/thika-buyers", "chat", "standard", "assistant", 30, true, false),
			new Sample("order summary", "south/kibera-workshop", "summary", "standard", "assistant", 20, false, false),
			new Sample("deposit", "south/thika-buyers", "deposit", "urgent", "ledger", 0, false, true));

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final TrialFleet fleet;

	private final List<String> hosts;

	TrialRequests(TrialFleet fleet) {
		this.fleet = fleet;
		this.hosts = List.copyOf(fleet.hosts().keySet());
	}

	void awaitReady() throws IOException, InterruptedException {
		long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
		while (System.currentTimeMillis() < deadline) {
			if (slotAssignmentStable() && this.hosts.stream().allMatch((id) -> this.fleet.hosts().get(id).ready())) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(READY_CHECK_INTERVAL_MILLIS);
		}
		throw new IOException("the hosts did not become ready within " + READY_TIMEOUT_MILLIS + " ms");
	}

	/**
	 * Returns whether every host holds key slots, is acquiring none, sees all hosts, and
	 * can already grant idempotency keys that are created now.
	 * @return true if all of this holds for every host
	 */
	private boolean slotAssignmentStable() throws IOException, InterruptedException {
		for (String host : this.hosts) {
			HttpRequest request = HttpRequest.newBuilder(URI.create(this.fleet.url(host) + "/admin/status"))
				.header("Authorization", "Bearer " + TrialFleet.OPERATOR_TOKEN)
				.build();
			byte[] body = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
			JsonNode status = Json.parse(body).getOrElse(Json.object());
			boolean stable = status.path("slots_held").asInt() > 0 && status.path("slots_acquiring").asInt() == 0
					&& status.path("hosts").size() == this.hosts.size()
					&& status.path("keys_minted_from").asLong() < System.currentTimeMillis();
			if (!stable) {
				return false;
			}
		}
		return true;
	}

	List<Result> sendAll() throws IOException, InterruptedException {
		List<Result> results = new ArrayList<>();
		for (int i = 0; i < SAMPLES.size(); i++) {
			results.add(send(SAMPLES.get(i), this.hosts.get(i % this.hosts.size())));
		}
		return results;
	}

	private Result send(Sample sample, String host) throws IOException, InterruptedException {
		HttpRequest.Builder builder = HttpRequest.newBuilder()
			.header("Authorization", "Bearer " + ExampleConfiguration.token(sample.organisation()))
			.header("X-Profile", sample.profile());
		if (sample.withIdempotencyKey()) {
			builder.header("Idempotency-Key", TimeOrderedId.next());
		}
		boolean toEngine = sample.maxTokens() > 0;
		String path = toEngine ? "/v1/completions" : "/services/" + sample.service() + "/records";
		String body = toEngine ? completionBody(sample) : sample.prompt();
		builder.uri(URI.create(this.fleet.url(host) + path)).POST(HttpRequest.BodyPublishers.ofString(body));
		long startNanos = System.nanoTime();
		HttpResponse<InputStream> response = this.client.send(builder.build(),
				HttpResponse.BodyHandlers.ofInputStream());
		int firstByte = response.body().read();
		long firstByteMillis = millisSince(startNanos);
		String rest = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
		String answer = (firstByte >= 0) ? (char) firstByte + rest : "";
		boolean correct = response.statusCode() == 200 && isCorrect(sample, answer);
		String outcome = response.headers().firstValue("X-Outcome").orElse(correct ? "answered" : "unknown");
		return new Result(sample.name(), sample.fleet(), sample.tier(),
				response.headers().firstValue("X-Entry-Host").orElse(""),
				response.headers().firstValue("X-Endpoint").orElse(""), firstByteMillis, millisSince(startNanos),
				outcome, correct);
	}

	private static long millisSince(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	private static String completionBody(Sample sample) {
		ObjectNode tree = Json.object();
		tree.put("model", sample.service()).put("prompt", sample.prompt());
		tree.put("max_tokens", sample.maxTokens()).put("stream", sample.stream());
		return new String(Json.bytes(tree), StandardCharsets.UTF_8);
	}

	private static boolean isCorrect(Sample sample, String answer) {
		if (sample.maxTokens() == 0) {
			JsonNode tree = Json.parse(answer.getBytes(StandardCharsets.UTF_8)).getOrElse(Json.object());
			return tree.path("echo").asText().equals(sample.prompt());
		}
		String expected = EngineStandIn.expectedText(sample.prompt(), sample.maxTokens());
		return sample.stream() ? streamedText(answer).equals(expected)
				: Json.parse(answer.getBytes(StandardCharsets.UTF_8))
					.map((tree) -> tree.path("choices").path(0).path("text").asText())
					.getOrElse("")
					.equals(expected);
	}

	private static String streamedText(String events) {
		if (!events.endsWith("data: [DONE]\n\n")) {
			return "";
		}
		StringBuilder text = new StringBuilder();
		for (String line : events.split("\n")) {
			if (line.startsWith("data: {")) {
				Json.parse(line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8))
					.forEach((tree) -> text.append(tree.path("choices").path(0).path("text").asText()));
			}
		}
		return text.toString();
	}

	/**
	 * A sample request. Immutable.
	 *
	 * @param name name in the output, also the start of the prompt
	 * @param organisation qualified name of the organisation that sends it
	 * @param profile name of the profile
	 * @param tier name of the tier in the output
	 * @param service name of the model or the plain service
	 * @param maxTokens most output tokens, or 0 for a request to a plain service
	 * @param stream whether the answer is streamed
	 * @param withIdempotencyKey whether an idempotency key is sent
	 */
	private record Sample(String name, String organisation, String profile, String tier, String service, int maxTokens,
			boolean stream, boolean withIdempotencyKey) {

		String fleet() {
			return this.organisation.substring(0, this.organisation.indexOf('/'));
		}

		String prompt() {
			return this.name + " for " + this.organisation + ". ";
		}

	}

	/**
	 * Result of a sample request. Immutable.
	 *
	 * @param request name of the sample
	 * @param fleet fleet of the organisation
	 * @param tier name of the tier
	 * @param host id of the host that took the request, or empty
	 * @param endpoint name of the endpoint that ran it, or empty
	 * @param firstByteMillis time to the first byte of the body in milliseconds
	 * @param totalMillis time to the end of the body in milliseconds
	 * @param outcome outcome that the host reported
	 * @param correct whether the status is 200 and the content is as expected
	 */
	record Result(String request, String fleet, String tier, String host, String endpoint, long firstByteMillis,
			long totalMillis, String outcome, boolean correct) {

	}

}
