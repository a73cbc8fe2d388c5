package carawayswitch.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.http.Json;

/**
 * Collects the generated text of an event stream into a single completion, for callers
 * that did not ask for a stream. Counts one token for each data event. Confined to the
 * thread of the request.
 */
final class CompletionCollector {

	private static final String DATA_PREFIX = "data: ";

	private final StringBuilder text = new StringBuilder();

	private int completionTokens;

	void accept(byte[] events) {
		for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(DATA_PREFIX)) {
				Json.parse(line.substring(DATA_PREFIX.length()).getBytes(StandardCharsets.UTF_8))
					.forEach(this::addEvent);
			}
		}
	}

	private void addEvent(JsonNode event) {
		JsonNode choice = event.path("choices").path(0);
		String delta = choice.has("text") ? choice.path("text").asText()
				: choice.path("delta").path("content").asText();
		this.text.append(delta);
		this.completionTokens++;
	}

	byte[] completionJson(ResolvedRequest request) {
		ObjectNode root = Json.object();
		root.put("id", request.requestId());
		root.put("object", request.chat() ? "chat.completion" : "text_completion");
		root.put("model", request.service());
		ObjectNode choice = root.putArray("choices").addObject();
		choice.put("index", 0);
		if (request.chat()) {
			choice.putObject("message").put("role", "assistant").put("content", this.text.toString());
		}
		else {
			choice.put("text", this.text.toString());
		}
		choice.put("finish_reason", "stop");
		ObjectNode usage = root.putObject("usage");
		usage.put("prompt_tokens", request.promptTokens());
		usage.put("completion_tokens", this.completionTokens);
		usage.put("total_tokens", request.promptTokens() + this.completionTokens);
		return Json.bytes(root);
	}

}
