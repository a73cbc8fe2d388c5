package carawayswitch.standin;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.DigestUtils;

import carawayswitch.http.Json;

/**
 * One answer that an engine stand-in generates. The text depends on the prompt only.
 * Confined to the thread of the stand-in.
 */
final class EngineSequence {

	static final int DEFAULT_TOKENS = 20;

	final String id;

	final boolean chat;

	final String prompt;

	final int totalTokens;

	int remainingPrefillTokens;

	int generatedTokens;

	int sentTokens;

	EngineResponseBody body;

	EngineSequence(String id, String prompt, boolean chat, int totalTokens, int remainingPrefillTokens) {
		this.id = id;
		this.prompt = prompt;
		this.chat = chat;
		this.totalTokens = totalTokens;
		this.remainingPrefillTokens = remainingPrefillTokens;
	}

	/**
	 * Returns the whole text that an engine generates for a prompt.
	 * @param prompt the prompt
	 * @param tokens length of the answer in tokens
	 * @return the text
	 */
	static String text(String prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			text.append(token(prompt, i));
		}
		return text.toString();
	}

	private static String token(String prompt, int index) {
		return DigestUtils.md5Hex(prompt).substring(0, 6) + "-" + index + " ";
	}

	byte[] event(int index) {
		ObjectNode root = Json.object().put("id", this.id);
		ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
		if (this.chat) {
			choice.putObject("delta").put("content", token(this.prompt, index));
		}
		else {
			choice.put("text", token(this.prompt, index));
		}
		return ("data: " + new String(Json.bytes(root), StandardCharsets.UTF_8) + "\n\n")
			.getBytes(StandardCharsets.UTF_8);
	}

}
