package carawayswitch.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;

import carawayswitch.gateway.GatewaySettings;
import carawayswitch.http.Json;
import carawayswitch.rollout.ExposureLimits;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Decoder of the JSON settings file that the platform writes. Stateless.
 */
public final class BootFile {

	/** Environment variable with the path of the file. */
	public static final String PATH_VARIABLE = "CARAWAYSWITCH_BOOT";

	private static final String ZONE_TRAFFIC = "zone-traffic";

	/** Name of the contract by which memory is bounded. */
	private static final String PRESSURE = "pressure";

	private static final double MILLIS_PER_SECOND = 1000;

	private static final double MILLICORES_PER_CORE = 1000;

	private BootFile() {
	}

	/**
	 * Reads the settings of this host.
	 * @param path path of the settings file
	 * @return the settings
	 * @throws IOException if the file cannot be read, is not valid JSON or lacks a
	 * required field
	 */
	public static GatewaySettings read(Path path) throws IOException {
		JsonNode tree = Json.parse(Files.readAllBytes(path))
			.getOrElseThrow((failure) -> new IOException("settings file " + path + " is not valid JSON: " + failure));
		JsonNode listen = tree.path("listen");
		InetSocketAddress store = address(text(tree.path("platform"), "address", path));
		return new GatewaySettings(text(tree, "node-name", path), text(tree, "zone", path),
				address(text(listen, "front", path)), address(text(listen, "readiness", path)),
				new InetSocketAddress(text(tree, "ip", path), tree.path("internal-port-range").path(0).asInt()), store,
				tree.path("cluster").asText(GatewaySettings.defaultClusterName(store)),
				capacityMillicores(tree.path("limits")), tree.path("bootstrap").asBoolean(false),
				bounds(tree.path("bounds")), zoneTraffic(tree, path), pressure(tree));
	}

	// Returns null if the file holds no such object, so that the policy is off.
	private static ZoneTrafficSettings zoneTraffic(JsonNode tree, Path path) throws IOException {
		JsonNode traffic = tree.get(ZONE_TRAFFIC);
		if (traffic == null) {
			return null;
		}
		if (!traffic.isObject()) {
			throw new IOException("settings file " + path + ": \"" + ZONE_TRAFFIC + "\" is not an object");
		}
		try {
			return new ZoneTrafficSettings(number(traffic, "price-per-gb", path),
					number(traffic, "value-per-second", path), number(traffic, "crossing-ms", path));
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("settings file " + path + ": \"" + ZONE_TRAFFIC + "\": " + ex.getMessage(), ex);
		}
	}

	private static double number(JsonNode traffic, String field, Path path) throws IOException {
		JsonNode value = traffic.get(field);
		if (value == null || !value.isNumber()) {
			throw new IOException(
					"settings file " + path + ": \"" + ZONE_TRAFFIC + "." + field + "\" is missing or not a number");
		}
		return value.asDouble();
	}

	// The contracts are a list of names, or an object that has them as fields.
	private static GatewaySettings.Pressure pressure(JsonNode tree) {
		JsonNode contracts = tree.path("contracts");
		boolean inForce = contracts.path(PRESSURE).asBoolean(contracts.has(PRESSURE));
		for (JsonNode name : contracts) {
			inForce |= contracts.isArray() && name.asText().equals(PRESSURE);
		}
		long endpointBodyBytes = tree.path("limits")
			.path("endpoint-body-bytes")
			.asLong(GatewaySettings.Pressure.DEFAULT_ENDPOINT_BODY_BYTES);
		return inForce ? GatewaySettings.Pressure.ofProcess(endpointBodyBytes) : GatewaySettings.Pressure.OFF;
	}

	private static String text(JsonNode tree, String field, Path path) throws IOException {
		JsonNode value = tree.get(field);
		if (value == null || !value.isTextual()) {
			throw new IOException("settings file " + path + ": \"" + field + "\" is missing or not a string");
		}
		return value.asText();
	}

	// In spite of its name, "cpu-cores" is a speed factor: how many times as fast as one
	// core the host is.
	private static int capacityMillicores(JsonNode limits) {
		return (int) (limits.path("cpu-share").asDouble(1) * limits.path("cpu-cores").asDouble(1)
				* MILLICORES_PER_CORE);
	}

	static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	// Defaults are the values of the example in the platform's manual. Fields with
	// "budget" in their names are about retries, those with "quota" about the caps of
	// organisations.
	private static GatewaySettings.Bounds bounds(JsonNode bounds) {
		return new GatewaySettings.Bounds(bounds.path("config-apply-ms").asLong(2000),
				bounds.path("drain-ms").asLong(2000), bounds.path("revoke-strict").asBoolean(true),
				bounds.path("revoke-ms").asLong(5000), (long) (bounds.path("grace-s").asDouble(8) * MILLIS_PER_SECOND),
				bounds.path("retry-budget-ratio").asDouble(0.2), bounds.path("budget-extra").asDouble(20),
				(long) (bounds.path("budget-window-s").asDouble(10) * MILLIS_PER_SECOND),
				(long) (bounds.path("quota-window-s").asDouble(8) * MILLIS_PER_SECOND),
				bounds.path("quota-excess").asDouble(0.1), bounds.path("quota-slack").asDouble(0), exposure(bounds));
	}

	// Rollouts are off unless the bounds hold a share.
	private static ExposureLimits exposure(JsonNode bounds) {
		JsonNode share = bounds.path("exposure-share");
		return share.isNumber() ? new ExposureLimits(share.asDouble(), bounds.path("exposure-slack").asDouble(0),
				bounds.path("rollback-ms").asLong(5000)) : null;
	}

}
