package carawayswitch.platform;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import io.vavr.control.Try;

import carawayswitch.http.Json;
import carawayswitch.route.EndpointEntry;

/**
 * Decoder of the JSON records with which endpoints register. Stateless.
 */
final class EndpointDecoder {

	/**
	 * Text that can be sent in a header and written to a log line as it is. Records of
	 * other writers may hold anything.
	 */
	private static final Pattern READABLE = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final int IPV4_BYTES = 4;

	private static final int MAX_PORT = 65_535;

	/** Sums of slots over all endpoints stay within an integer. */
	private static final int MAX_SLOTS = 100_000;

	private EndpointDecoder() {
	}

	/**
	 * Decodes the registration of an endpoint. Only the key of the record holds the id of
	 * the endpoint. "born" is the time at which the endpoint started; a record without it
	 * counts as started at 0.
	 * @param id key of the record
	 * @param bytes value of the record
	 * @return the entry; a failure if a required field is missing or not valid
	 */
	static Try<EndpointEntry> decode(String id, byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			String state = text(tree, "state");
			if (!state.equals("ready") && !state.equals("draining")) {
				throw new PlatformException("\"state\" is \"" + state + "\"; valid: ready, draining");
			}
			JsonNode slots = tree.path("slots");
			if (!slots.isIntegralNumber() || !slots.canConvertToInt() || slots.asInt() < 1
					|| slots.asInt() > MAX_SLOTS) {
				throw new PlatformException("\"slots\" is " + slots + "; valid: 1 to " + MAX_SLOTS);
			}
			JsonNode born = tree.path("born");
			if (!born.isMissingNode() && !(born.isIntegralNumber() && born.canConvertToLong())) {
				throw new PlatformException("\"born\" is " + born + "; valid: an integer");
			}
			return new EndpointEntry(readable("key", id), readable("service", text(tree, "service")),
					readable("version", text(tree, "version")), address(text(tree, "address")),
					readable("zone", text(tree, "zone")), slots.asInt(), state.equals("draining"), born.asLong());
		});
	}

	private static String readable(String field, String value) throws PlatformException {
		if (!READABLE.matcher(value).matches()) {
			throw new PlatformException("\"" + field + "\" is not readable; valid: 1 to 128 printable characters");
		}
		return value;
	}

	// Accepts no host names, since a name lookup would block the event loop.
	private static InetSocketAddress address(String text) throws PlatformException {
		int colon = text.lastIndexOf(':');
		byte[] ip = (colon < 0) ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
		int port = text.substring(colon + 1).matches("\\d{1,5}") ? Integer.parseInt(text.substring(colon + 1)) : 0;
		if (ip == null || ip.length != IPV4_BYTES || port < 1 || port > MAX_PORT) {
			throw new PlatformException("\"address\" is \"" + text + "\"; valid: IP:PORT");
		}
		return new InetSocketAddress(text.substring(0, colon), port);
	}

	static String text(JsonNode tree, String field) throws PlatformException {
		JsonNode value = tree.get(field);
		if (value == null || !value.isTextual()) {
			throw new PlatformException("\"" + field + "\" is missing or not a string");
		}
		return value.asText();
	}

}
