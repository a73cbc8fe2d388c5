package carawayswitch.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import org.apache.commons.codec.digest.DigestUtils;

import carawayswitch.gateway.StreamBatch;
import carawayswitch.http.Json;
import carawayswitch.route.OriginEntry;
import carawayswitch.route.StreamOrigin;

/**
 * Codec of the JSON records that say what has begun streams. Stateless.
 */
final class StreamOriginCodec {

	private StreamOriginCodec() {
	}

	/**
	 * Returns the key of the record of an entry: a hash, since the names in it have no
	 * bound on their length and keys have one.
	 * @param entry the entry
	 * @return the key, the same for a retired entry
	 */
	static String key(OriginEntry entry) {
		return DigestUtils.md5Hex(String.join("\n", entry.route(), entry.origin().service(), entry.origin().version()));
	}

	static byte[] encode(OriginEntry entry) {
		return Json.bytes(Json.object()
			.put("route", entry.route())
			.put("service", entry.origin().service())
			.put("version", entry.origin().version())
			.put("state", entry.state().label())
			.put("revision", entry.revision()));
	}

	static Try<OriginEntry> decodeEntry(byte[] bytes) {
		return Json.parse(bytes)
			.mapTry((tree) -> new OriginEntry(text(tree, "route"), origin(tree), state(text(tree, "state")),
					tree.path("revision").asLong()));
	}

	private static OriginEntry.State state(String label) throws PlatformException {
		for (OriginEntry.State state : OriginEntry.State.values()) {
			if (state.label().equals(label)) {
				return state;
			}
		}
		throw new PlatformException("\"state\" is \"" + label + "\"; valid: new, established, retired");
	}

	private static StreamOrigin origin(JsonNode tree) throws PlatformException {
		return new StreamOrigin(text(tree, "service"), text(tree, "version"));
	}

	private static String text(JsonNode tree, String field) throws PlatformException {
		return EndpointDecoder.text(tree, field);
	}

	static byte[] encode(StreamBatch batch) {
		ObjectNode value = Json.object().put("lifetime-ms", batch.lifetimeMillis());
		ArrayNode origins = value.putArray("streams");
		batch.keys().forEach((origin, keys) -> {
			ArrayNode array = origins.addObject()
				.put("service", origin.service())
				.put("version", origin.version())
				.putArray("keys");
			keys.forEach(array::add);
		});
		return Json.bytes(value);
	}

	static Try<StreamBatch> decodeBatch(String name, byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			Map<StreamOrigin, List<String>> keys = new HashMap<>();
			for (JsonNode item : tree.path("streams")) {
				List<String> list = keys.computeIfAbsent(origin(item), (origin) -> new ArrayList<>());
				item.path("keys").forEach((key) -> list.add(key.asText()));
			}
			return new StreamBatch(name, tree.path("lifetime-ms").asLong(), keys);
		});
	}

}
