package carawayswitch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;

import carawayswitch.http.Json;
import carawayswitch.route.EndpointEntry;

/**
 * Decodes what endpoints register of themselves. Stateless.
 */
final class EndpointDecoder {

	private EndpointDecoder() {
	}

	/**
	 * Decodes an entry. The id of an endpoint stands only in the key of its record.
	 * @param id key of the record
	 * @param bytes value of the record
	 * @return the entry; a failure if a field is missing or has another type
	 */
	static Try<EndpointEntry> decode(String id, byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			String state = text(tree, "state");
			if (!state.equals("ready") && !state.equals("draining")) {
				throw new PlatformException("unknown state \"" + state + "\"");
			}
			JsonNode slots = tree.get("slots");
			if (slots == null || !slots.isIntegralNumber()) {
				throw new PlatformException("\"slots\" is missing or not a whole number");
			}
			return new EndpointEntry(id, text(tree, "service"), BootFile.address(text(tree, "address")),
					text(tree, "zone"), slots.asInt(), state.equals("draining"), tree.path("born").asLong());
		});
	}

	private static String text(JsonNode tree, String field) throws PlatformException {
		JsonNode value = tree.get(field);
		if (value == null || !value.isTextual()) {
			throw new PlatformException("\"" + field + "\" is missing or not a text");
		}
		return value.asText();
	}

}
