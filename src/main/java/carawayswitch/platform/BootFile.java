package carawayswitch.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;

import carawayswitch.gateway.GatewaySettings;
import carawayswitch.http.Json;

/**
 * Settings file that the platform writes. Stateless.
 */
public final class BootFile {

	/** Environment variable with the path of the file. */
	public static final String PATH_VARIABLE = "CARAWAYSWITCH_BOOT";

	private static final double MILLIS_PER_SECOND = 1000;

	private static final double MILLICORES_PER_CORE = 1000;

	private BootFile() {
	}

	/**
	 * Reads the file.
	 * @param path path of the file
	 * @return the settings
	 * @throws IOException if the file cannot be read or lacks a required field
	 */
	public static GatewaySettings read(Path path) throws IOException {
		JsonNode tree = Json.parse(Files.readAllBytes(path))
			.getOrElseThrow((failure) -> new IOException("malformed settings file " + path + ": " + failure));
		JsonNode listen = tree.path("listen");
		return new GatewaySettings(text(tree, "node-name", path), text(tree, "zone", path),
				address(text(listen, "front", path)), address(text(listen, "readiness", path)),
				new InetSocketAddress(text(tree, "ip", path), tree.path("internal-port-range").path(0).asInt()),
				address(text(tree.path("platform"), "address", path)), capacityMillicores(tree.path("limits")),
				bounds(tree.path("bounds")));
	}

	private static String text(JsonNode tree, String field, Path path) throws IOException {
		JsonNode value = tree.get(field);
		if (value == null || !value.isTextual()) {
			throw new IOException("settings file " + path + ": \"" + field + "\" is missing or not a text");
		}
		return value.asText();
	}

	// The number of cores is how many times as fast as one core the host is.
	private static int capacityMillicores(JsonNode limits) {
		return (int) (limits.path("cpu-share").asDouble(1) * limits.path("cpu-cores").asDouble(1)
				* MILLICORES_PER_CORE);
	}

	static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	// A bound that the file does not state takes the value of the example in the
	// platform's manual.
	private static GatewaySettings.Bounds bounds(JsonNode bounds) {
		return new GatewaySettings.Bounds(bounds.path("config-apply-ms").asLong(2000),
				bounds.path("drain-ms").asLong(2000), bounds.path("revoke-strict").asBoolean(true),
				bounds.path("revoke-ms").asLong(5000), (long) (bounds.path("grace-s").asDouble(8) * MILLIS_PER_SECOND),
				bounds.path("retry-budget-ratio").asDouble(0.2), bounds.path("budget-extra").asDouble(20),
				(long) (bounds.path("budget-window-s").asDouble(10) * MILLIS_PER_SECOND),
				(long) (bounds.path("quota-window-s").asDouble(8) * MILLIS_PER_SECOND),
				bounds.path("quota-excess").asDouble(0.1), bounds.path("quota-slack").asDouble(0));
	}

}
