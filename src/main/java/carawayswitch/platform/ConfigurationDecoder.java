package carawayswitch.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;

import carawayswitch.http.Json;
import carawayswitch.http.RequestLimits;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RequestKind;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;
import carawayswitch.route.ServicePolicy;

/**
 * Decoder of the JSON configuration that operators write. Stateless.
 */
final class ConfigurationDecoder {

	private ConfigurationDecoder() {
	}

	static Try<RouteTable> decode(byte[] bytes) {
		return Json.parse(bytes).mapTry(ConfigurationDecoder::table);
	}

	private static RouteTable table(JsonNode tree) {
		JsonNode organisations = tree.path("tenants");
		boolean keysInUse = organisations.isArray() && !organisations.isEmpty();
		List<Route> routes = new ArrayList<>();
		tree.path("routes").forEach((route) -> routes.add(route(route, keysInUse)));
		List<ServicePolicy> services = new ArrayList<>();
		tree.path("services").forEach((service) -> services.add(service(service)));
		Map<String, OrganisationPolicy> byKey = new HashMap<>();
		for (JsonNode organisation : organisations) {
			OrganisationPolicy policy = organisation(organisation);
			organisation.path("api-keys").forEach((key) -> byKey.put(key.asText(), policy));
		}
		return new RouteTable(tree.path("version").asLong(), routes, services, byKey, keysInUse,
				limits(tree.path("limits")));
	}

	private static Route route(JsonNode route, boolean keysInUse) {
		List<Route.WeightedService> services = new ArrayList<>();
		for (JsonNode share : route.path("traffic-split")) {
			services.add(new Route.WeightedService(share.path("service").asText(), share.path("weight").asInt()));
		}
		if (services.isEmpty()) {
			services.add(new Route.WeightedService(route.path("service").asText(), 1));
		}
		// "target-latency-ms" is the target for the time to the answer or its first
		// event, "gap-aim-ms" the one for the pause between two events.
		long timeoutMillis = route.path("timeout-ms").asLong();
		return new Route(route.path("name").asText(), route.path("host").asText().toLowerCase(Locale.ROOT),
				route.path("path-prefix").asText(), List.copyOf(services), kind(route.path("kind").asText()),
				timeoutMillis, route.path("target-latency-ms").asLong(timeoutMillis),
				Math.max(1, route.path("max-attempts").asInt(1)), route.path("priority").asInt(),
				keysInUse && !route.path("auth-exempt").asBoolean(), route.path("stream-resume").asBoolean(),
				route.path("gap-aim-ms").asLong());
	}

	// Requests of any other kind count as not idempotent.
	private static RequestKind kind(String wireName) {
		return switch (wireName) {
			case "idempotent" -> RequestKind.IDEMPOTENT;
			case "streaming" -> RequestKind.STREAMING;
			default -> RequestKind.NON_IDEMPOTENT;
		};
	}

	private static ServicePolicy service(JsonNode service) {
		// "stride" is the number of tokens in one event of a stream.
		JsonNode engine = service.path("engine");
		return new ServicePolicy(service.path("name").asText(), service.path("max-connections").asInt(),
				engine.isObject(), engine.path("slots").asInt(), engine.path("kv-token-capacity").asLong(),
				Math.max(1, engine.path("stride").asInt(1)));
	}

	private static OrganisationPolicy organisation(JsonNode organisation) {
		Integer priority = organisation.has("priority") ? organisation.get("priority").asInt() : null;
		double unitsPerSecond = organisation.path("rate-per-s").asDouble();
		// "rate-per-s" and "burst" count requests unless "unit" is "tokens".
		// "plain-tokens" is the charge for a request that states no token counts.
		boolean countsTokens = organisation.path("unit").asText().equals("tokens");
		OrganisationPolicy.Cap cap = (unitsPerSecond > 0) ? new OrganisationPolicy.Cap(unitsPerSecond,
				organisation.path("burst").asDouble(), countsTokens, organisation.path("plain-tokens").asInt()) : null;
		return new OrganisationPolicy(organisation.path("name").asText(), priority, cap);
	}

	private static RequestLimits limits(JsonNode limits) {
		RequestLimits defaults = RequestLimits.DEFAULT;
		return new RequestLimits(limits.path("max-header-bytes").asInt(defaults.maxHeaderBytes()),
				limits.path("max-body-bytes").asInt(defaults.maxBodyBytes()),
				limits.path("header-timeout-ms").asLong(defaults.headerTimeoutMillis()),
				limits.path("idle-timeout-ms").asLong(defaults.idleTimeoutMillis()));
	}

}
