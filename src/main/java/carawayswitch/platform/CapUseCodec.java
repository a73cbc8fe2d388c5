package carawayswitch.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

import carawayswitch.gateway.CapUse;
import carawayswitch.http.Json;

/**
 * Codec of the JSON record of the use of caps. Stateless.
 */
final class CapUseCodec {

	private CapUseCodec() {
	}

	static byte[] encode(CapUse use) {
		ObjectNode value = Json.object().put("recorded-at", use.recordedAtWallMillis());
		ObjectNode organisations = value.putObject("units");
		use.units().forEach((organisation, units) -> {
			ArrayNode array = organisations.putArray(organisation);
			units.forEach(array::add);
		});
		return Json.bytes(value);
	}

	/**
	 * Decodes a record.
	 * @param bytes the record
	 * @return the record; a failure if a field is missing or not valid
	 */
	static Try<CapUse> decode(byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			JsonNode recordedAt = tree.path("recorded-at");
			JsonNode organisations = tree.path("units");
			if (!recordedAt.isIntegralNumber() || !organisations.isObject()) {
				throw new PlatformException("\"recorded-at\" is " + recordedAt + " and \"units\" is "
						+ organisations.getNodeType() + "; valid: an integer and an object");
			}
			Map<String, List<Long>> units = new HashMap<>();
			for (Map.Entry<String, JsonNode> organisation : organisations.properties()) {
				List<Long> ofOrganisation = new ArrayList<>();
				for (JsonNode item : organisation.getValue()) {
					if (!item.isIntegralNumber() || !item.canConvertToLong() || item.asLong() < 0) {
						throw new PlatformException("units of " + organisation.getKey() + " hold " + item
								+ "; valid: integers of 0 or more");
					}
					ofOrganisation.add(item.asLong());
				}
				units.put(organisation.getKey(), ofOrganisation);
			}
			return new CapUse(recordedAt.asLong(), units);
		});
	}

}
