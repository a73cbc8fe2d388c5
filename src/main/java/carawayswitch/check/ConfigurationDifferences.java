package carawayswitch.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;

import carawayswitch.check.Difference.Change;
import carawayswitch.check.Difference.FieldChange;
import carawayswitch.route.ConfigurationEntries;
import carawayswitch.route.ConfigurationEntries.OrganisationEntry;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.Route;
import carawayswitch.route.ServicePolicy;

/**
 * Compares two versions of the configuration. Entries are identified by kind and name;
 * their order does not count, except among entries of the same name. Stateless.
 */
final class ConfigurationDifferences {

	private static final String NONE = "none";

	private ConfigurationDifferences() {
	}

	/**
	 * Compares two versions, except for their version numbers.
	 * @param before the version in force
	 * @param after the new version
	 * @return the entries that differ: for each kind those of the version in force, then
	 * those that were added
	 */
	static List<Difference> between(ConfigurationEntries before, ConfigurationEntries after) {
		List<Difference> differences = new ArrayList<>();
		compare(EntryKind.CONFIGURATION, Map.of("", fields(before)), Map.of("", fields(after)), differences);
		compare(EntryKind.ROUTE, byName(before.routes(), Route::name, ConfigurationDifferences::fields),
				byName(after.routes(), Route::name, ConfigurationDifferences::fields), differences);
		compare(EntryKind.SERVICE, byName(before.services(), ServicePolicy::name, ConfigurationDifferences::fields),
				byName(after.services(), ServicePolicy::name, ConfigurationDifferences::fields), differences);
		Function<OrganisationEntry, String> name = (entry) -> entry.policy().name();
		compare(EntryKind.ORGANISATION, byName(before.organisations(), name, ConfigurationDifferences::fields),
				byName(after.organisations(), name, ConfigurationDifferences::fields), differences);
		return differences;
	}

	private static <T> Map<String, Map<String, String>> byName(List<T> entries, Function<T, String> name,
			Function<T, Map<String, String>> fields) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		Map<String, Map<String, String>> byName = new LinkedHashMap<>();
		for (T entry : entries) {
			int number = counts.merge(name.apply(entry), 1, Integer::sum);
			byName.put(name.apply(entry) + ((number > 1) ? " (" + number + ")" : ""), fields.apply(entry));
		}
		return byName;
	}

	private static void compare(EntryKind kind, Map<String, Map<String, String>> before,
			Map<String, Map<String, String>> after, List<Difference> differences) {
		before.forEach((name, fields) -> {
			Map<String, String> newFields = after.get(name);
			List<FieldChange> changes = changes(fields, (newFields != null) ? newFields : Map.of());
			if (!changes.isEmpty()) {
				differences
					.add(new Difference(kind, name, (newFields != null) ? Change.CHANGED : Change.REMOVED, changes));
			}
		});
		after.forEach((name, fields) -> {
			if (!before.containsKey(name)) {
				differences.add(new Difference(kind, name, Change.ADDED, changes(Map.of(), fields)));
			}
		});
	}

	private static List<FieldChange> changes(Map<String, String> before, Map<String, String> after) {
		return (before.isEmpty() ? after : before).keySet()
			.stream()
			.filter((field) -> !Objects.equals(before.get(field), after.get(field)))
			.map((field) -> new FieldChange(field, before.get(field), after.get(field)))
			.toList();
	}

	private static Map<String, String> fields(ConfigurationEntries entries) {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("requests need keys", String.valueOf(entries.keysInUse()));
		fields.put("largest head bytes", String.valueOf(entries.limits().maxHeaderBytes()));
		fields.put("largest body bytes", String.valueOf(entries.limits().maxBodyBytes()));
		fields.put("time between reads ms", String.valueOf(entries.limits().headerTimeoutMillis()));
		fields.put("idle limit ms", String.valueOf(entries.limits().idleTimeoutMillis()));
		return fields;
	}

	private static Map<String, String> fields(Route route) {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("host name", route.hostName());
		fields.put("path prefix", route.pathPrefix());
		fields.put("services by weight",
				route.services()
					.stream()
					.map((share) -> share.service() + ":" + share.weight())
					.collect(Collectors.joining(", ")));
		fields.put("kind", route.kind().name().toLowerCase(Locale.ROOT));
		fields.put("time limit ms", String.valueOf(route.timeoutMillis()));
		fields.put("objective ms", String.valueOf(route.objectiveMillis()));
		fields.put("attempts", String.valueOf(route.maxAttempts()));
		fields.put("priority", String.valueOf(route.priority()));
		fields.put("needs a key", String.valueOf(route.keyRequired()));
		fields.put("streams are resumed", String.valueOf(route.resumable()));
		fields.put("longest pause ms", String.valueOf(route.maxGapMillis()));
		return fields;
	}

	private static Map<String, String> fields(ServicePolicy service) {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("connections", String.valueOf(service.maxConnections()));
		fields.put("engine", String.valueOf(service.engine()));
		fields.put("slots", String.valueOf(service.engineSlots()));
		fields.put("kv cache tokens", String.valueOf(service.kvTokens()));
		fields.put("tokens per event", String.valueOf(service.tokensPerEvent()));
		return fields;
	}

	private static Map<String, String> fields(OrganisationEntry entry) {
		OrganisationPolicy.Cap cap = entry.policy().cap();
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("priority", (entry.policy().priority() != null) ? String.valueOf(entry.policy().priority()) : NONE);
		fields.put("cap unit", (cap != null) ? unit(cap) : NONE);
		fields.put("cap per second", (cap != null) ? String.valueOf(cap.unitsPerSecond()) : NONE);
		fields.put("cap burst", (cap != null) ? String.valueOf(cap.burstUnits()) : NONE);
		fields.put("tokens without counts", (cap != null) ? String.valueOf(cap.defaultRequestTokens()) : NONE);
		fields.put("keys",
				entry.keys().stream().map(KeyDigest::of).distinct().sorted().collect(Collectors.joining(", ")));
		return fields;
	}

	private static String unit(OrganisationPolicy.Cap cap) {
		return cap.countsTokens() ? "tokens" : "requests";
	}

}
