package carawayswitch.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.codec.digest.DigestUtils;

import carawayswitch.config.Endpoint;
import carawayswitch.config.Entity;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Organisation;
import carawayswitch.config.PressurePolicy;
import carawayswitch.config.Profile;
import carawayswitch.config.Service;
import carawayswitch.config.Tier;
import carawayswitch.message.ConfigurationChange;

/**
 * Example configuration of the fleets {@code north} and {@code south}; some entity names
 * occur in both. Stateless.
 */
public final class ExampleConfiguration {

	/** Region of the example hosts. */
	public static final String REGION = "region-1";

	private static final int REPORT_TOKENS = 400;

	private static final int SUMMARY_TOKENS = 60;

	private static final int TAG_TOKENS = 4;

	private ExampleConfiguration() {
	}

	/**
	 * Returns the bearer token of an example organisation.
	 * @param organisation qualified name of the organisation
	 * @return the token
	 */
	public static String token(String organisation) {
		return "token-of-" + organisation;
	}

	/**
	 * Returns the changes that create all example entities.
	 * @param addresses addresses of the endpoints
	 * @param zones availability zones of the endpoints, at least one; endpoints are
	 * placed in the first and the last
	 * @return the changes
	 */
	public static List<ConfigurationChange> changes(EndpointAddresses addresses, List<String> zones) {
		Map<String, Entity> entities = new LinkedHashMap<>();
		addSabarmati(entities);
		addMwangaza(entities);
		addEndpoints(entities, addresses, zones);
		return entities.entrySet().stream().map((entry) -> change(entry.getKey(), entry.getValue())).toList();
	}

	/**
	 * Creates a change that adds an entity.
	 * @param path kind and qualified name, separated by a space
	 * @param entity the entity
	 * @return the change
	 */
	public static ConfigurationChange change(String path, Entity entity) {
		String[] parts = path.split(" ");
		return new ConfigurationChange("example " + path, "example", 0, parts[0], parts[1], 0, false,
				EntityKind.toJson(entity));
	}

	private static void addSabarmati(Map<String, Entity> entities) {
		entities.put("tier north/urgent", new Tier(4));
		entities.put("tier north/standard", new Tier(2));
		entities.put("tier north/background", new Tier(0));
		entities.put("profile north/report",
				new Profile("urgent", false, PressurePolicy.PROTECT, "report", 60_000, REPORT_TOKENS, 1));
		entities.put("profile north/summary",
				new Profile("standard", true, PressurePolicy.WAIT, "summary", 20_000, SUMMARY_TOKENS, 1));
		entities.put("profile north/tag",
				new Profile("background", true, PressurePolicy.PREEMPT, "tag", 10_000, TAG_TOKENS, 1));
		entities.put("profile north/booking",
				new Profile("urgent", false, PressurePolicy.PROTECT, "booking", 10_000, 1, 1));
		entities.put("profile north/status",
				new Profile("background", true, PressurePolicy.WAIT, "status", 5_000, 1, 1));
		entities.put("service north/assistant", new Service(true, List.of("summary", "report", "tag")));
		entities.put("service north/pickups", new Service(false, List.of("booking")));
		entities.put("service north/status", new Service(false, List.of("status")));
		for (String name : List.of("vapi-yard", "naroda-yard")) {
			entities.put("organisation north/" + name, organisation("north/" + name));
		}
	}

	private static void addMwangaza(Map<String, Entity> entities) {
		entities.put("tier south/urgent", new Tier(3));
		entities.put("tier south/standard", new Tier(1));
		entities.put("profile south/order",
				new Profile("urgent", true, PressurePolicy.PROTECT, "order", 20_000, SUMMARY_TOKENS, 1));
		entities.put("profile south/chat",
				new Profile("standard", true, PressurePolicy.WAIT, "chat", 20_000, SUMMARY_TOKENS, 1));
		entities.put("profile south/summary",
				new Profile("standard", true, PressurePolicy.PREEMPT, "summary", 20_000, SUMMARY_TOKENS / 2, 1));
		entities.put("profile south/draft",
				new Profile("standard", false, PressurePolicy.WAIT, "draft", 60_000, REPORT_TOKENS, 1));
		entities.put("profile south/deposit",
				new Profile("urgent", false, PressurePolicy.PROTECT, "deposit", 10_000, 1, 1));
		entities.put("profile south/status", new Profile("standard", true, PressurePolicy.WAIT, "status", 5_000, 1, 1));
		entities.put("service south/assistant", new Service(true, List.of("chat", "order", "summary", "draft")));
		entities.put("service south/ledger", new Service(false, List.of("deposit")));
		entities.put("service south/status", new Service(false, List.of("status")));
		for (String name : List.of("kibera-workshop", "thika-buyers")) {
			entities.put("organisation south/" + name, organisation("south/" + name));
		}
	}

	private static Organisation organisation(String name) {
		return new Organisation(DigestUtils.sha256Hex(token(name)), REGION, 1, 0);
	}

	private static void addEndpoints(Map<String, Entity> entities, EndpointAddresses addresses, List<String> zones) {
		List<String> models = List.of("north/assistant", "south/assistant");
		String firstZone = zones.get(0);
		String lastZone = zones.get(zones.size() - 1);
		entities.put("endpoint shared/engine-fast",
				new Endpoint(models, addresses.fastEngine(), firstZone, REGION, 16, 20_000, true, false));
		entities.put("endpoint shared/engine-slow",
				new Endpoint(models, addresses.slowEngine(), lastZone, REGION, 8, 10_000, false, false));
		entities.put("endpoint shared/ledger", new Endpoint(List.of("north/pickups", "south/ledger"),
				addresses.ledger(), firstZone, REGION, 64, 0, false, false));
		entities.put("endpoint shared/status", new Endpoint(List.of("north/status", "south/status"), addresses.status(),
				lastZone, REGION, 64, 0, false, false));
	}

	/**
	 * Base URLs of the example endpoints. Immutable.
	 *
	 * @param fastEngine base URL of the fast engine
	 * @param slowEngine base URL of the slow engine
	 * @param ledger base URL of the service whose calls are not idempotent
	 * @param status base URL of the service whose calls are idempotent
	 */
	public record EndpointAddresses(String fastEngine, String slowEngine, String ledger, String status) {

	}

}
