package carawayswitch.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;

import carawayswitch.check.Finding;
import carawayswitch.http.Json;
import carawayswitch.http.RequestLimits;
import carawayswitch.route.ConfigurationEntries;
import carawayswitch.route.ConfigurationEntries.OrganisationEntry;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RequestKind;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;
import carawayswitch.route.ServicePolicy;

/**
 * Decoder of the JSON configuration that operators write. A value of a wrong type counts
 * as its default and an unknown field is ignored, so that a mistake in one entry does not
 * keep the gateway from the others. Stateless.
 */
public final class ConfigurationDecoder {

	private ConfigurationDecoder() {
	}

	static Try<RouteTable> decode(byte[] bytes) {
		Try<JsonNode> tree = Json.parse(bytes);
		if (tree.isFailure()) {
			Finding error = syntaxError(tree.getCause());
			return Try.failure(new PlatformException(error.at() + " " + error.message()));
		}
		return tree.mapTry((parsed) -> entries(new FieldReader(parsed)).table());
	}

	/**
	 * Decodes a configuration as the gateway does, and reports what the gateway does not
	 * read as it is written.
	 * @param bytes the text in UTF-8
	 * @return the configuration with the findings
	 */
	public static DecodedConfiguration decodeWithFindings(byte[] bytes) {
		Try<JsonNode> tree = Json.parse(bytes);
		if (tree.isFailure()) {
			return new DecodedConfiguration(Optional.empty(), List.of(syntaxError(tree.getCause())), List.of());
		}
		FieldReader fields = new FieldReader(tree.get());
		ConfigurationEntries entries = entries(fields);
		return new DecodedConfiguration(Optional.of(entries), fields.errors(), fields.warnings());
	}

	// The parser's message is left out, since it quotes the text, which may hold a key.
	private static Finding syntaxError(Throwable cause) {
		JsonLocation location = (cause instanceof JsonProcessingException ex) ? ex.getLocation() : null;
		if (location == null) {
			return new Finding("the text", "is empty or no valid JSON");
		}
		return new Finding("line " + location.getLineNr() + ", column " + location.getColumnNr(), "is no valid JSON");
	}

	private static ConfigurationEntries entries(FieldReader tree) {
		List<FieldReader> organisations = tree.objects("tenants");
		boolean keysInUse = tree.isNonEmptyList("tenants");
		List<Route> routes = tree.objects("routes").stream().map((route) -> route(route, keysInUse)).toList();
		List<ServicePolicy> services = tree.objects("services").stream().map(ConfigurationDecoder::service).toList();
		ConfigurationEntries entries = new ConfigurationEntries(tree.longValue("version", 0), routes, services,
				organisations.stream().map(ConfigurationDecoder::organisation).toList(), keysInUse,
				limits(tree.object("limits")));
		tree.reportUnknownFields();
		return entries;
	}

	private static Route route(FieldReader route, boolean keysInUse) {
		List<Route.WeightedService> services = new ArrayList<>();
		for (FieldReader share : route.objects("traffic-split")) {
			services.add(new Route.WeightedService(share.text("service"), share.intValue("weight", 0)));
			share.reportUnknownFields();
		}
		String service = route.text("service");
		if (services.isEmpty()) {
			services.add(new Route.WeightedService(service, 1));
		}
		// "target-latency-ms" is the target for the time to the answer or its first
		// event, "gap-aim-ms" the one for the pause between two events.
		long timeoutMillis = route.longValue("timeout-ms", 0);
		Route decoded = new Route(route.text("name"), route.text("host").toLowerCase(Locale.ROOT),
				route.text("path-prefix"), List.copyOf(services),
				kind(route.choice("kind", "idempotent", "streaming", "non_idempotent")), timeoutMillis,
				route.longValue("target-latency-ms", timeoutMillis), Math.max(1, route.intValue("max-attempts", 1)),
				route.intValue("priority", 0), requiresKey(route, keysInUse), route.flag("stream-resume"),
				route.longValue("gap-aim-ms", 0));
		route.skip("sticky");
		route.reportUnknownFields();
		return decoded;
	}

	private static boolean requiresKey(FieldReader route, boolean keysInUse) {
		boolean exempt = route.flag("auth-exempt");
		return keysInUse && !exempt;
	}

	// Requests of any other kind count as not idempotent.
	private static RequestKind kind(String wireName) {
		return switch (wireName) {
			case "idempotent" -> RequestKind.IDEMPOTENT;
			case "streaming" -> RequestKind.STREAMING;
			default -> RequestKind.NON_IDEMPOTENT;
		};
	}

	private static ServicePolicy service(FieldReader service) {
		// "stride" is the number of tokens in one event of a stream.
		FieldReader engine = service.object("engine");
		ServicePolicy decoded = new ServicePolicy(service.text("name"), service.intValue("max-connections", 0),
				engine.isObject(), engine.intValue("slots", 0), engine.longValue("kv-token-capacity", 0),
				Math.max(1, engine.intValue("stride", 1)));
		engine.skip("kv-token-bytes", "models");
		engine.reportUnknownFields();
		service.skip("health-path", "protocol", "tls");
		service.reportUnknownFields();
		return decoded;
	}

	private static OrganisationEntry organisation(FieldReader organisation) {
		Integer priority = organisation.has("priority") ? organisation.intValue("priority", 0) : null;
		double unitsPerSecond = organisation.doubleValue("rate-per-s");
		// "rate-per-s" and "burst" count requests unless "unit" is "tokens".
		// "plain-tokens" is the charge for a request that states no token counts.
		boolean countsTokens = organisation.choice("unit", "tokens", "requests").equals("tokens");
		OrganisationPolicy.Cap cap = new OrganisationPolicy.Cap(unitsPerSecond, organisation.doubleValue("burst"),
				countsTokens, organisation.intValue("plain-tokens", 0));
		OrganisationEntry entry = new OrganisationEntry(
				new OrganisationPolicy(organisation.text("name"), priority, (unitsPerSecond > 0) ? cap : null),
				organisation.texts("api-keys"));
		organisation.reportUnknownFields();
		return entry;
	}

	private static RequestLimits limits(FieldReader limits) {
		RequestLimits defaults = RequestLimits.DEFAULT;
		RequestLimits decoded = new RequestLimits(limits.intValue("max-header-bytes", defaults.maxHeaderBytes()),
				limits.intValue("max-body-bytes", defaults.maxBodyBytes()),
				limits.longValue("header-timeout-ms", defaults.headerTimeoutMillis()),
				limits.longValue("idle-timeout-ms", defaults.idleTimeoutMillis()));
		limits.reportUnknownFields();
		return decoded;
	}

}
