package carawayswitch.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.http.Json;

/**
 * Collects the text of an event stream for callers that want a single answer. Confined to
 * the thread of the request.
 */
final class CompletionText {

	private static final String DATA = "data: ";

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	void accept(byte[] events) {
		for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(DATA)) {
				Json.parse(line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8)).forEach(this::addEvent);
			}
		}
	}

	private void addEvent(JsonNode event) {
		JsonNode choice = event.path("choices").path(0);
		String piece = choice.has("text") ? choice.path("text").asText()
				: choice.path("delta").path("content").asText();
		this.text.append(piece);
		this.tokens++;
	}

	byte[] completion(CallerCall call) {
		ObjectNode root = Json.object();
		root.put("id", call.requestId());
		root.put("object", call.chat() ? "chat.completion" : "text_completion");
		root.put("model", call.service());
		ObjectNode choice = root.putArray("choices").addObject();
		choice.put("index", 0);
		if (call.chat()) {
			choice.putObject("message").put("role", "assistant").put("content", this.text.toString());
		}
		else {
			choice.put("text", this.text.toString());
		}
		choice.put("finish_reason", "stop");
		ObjectNode usage = root.putObject("usage");
		usage.put("prompt_tokens", call.promptTokens());
		usage.put("completion_tokens", this.tokens);
		usage.put("total_tokens", call.promptTokens() + this.tokens);
		return Json.bytes(root);
	}

}
