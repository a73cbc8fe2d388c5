package carawayswitch.config;

import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * Kinds of configured entities, with their parser and validation. Stateless.
 */
public enum EntityKind {

	/** An urgency that a fleet has named. */
	TIER(Tier.class),

	/** Scheduling requirements of a kind of work. */
	PROFILE(Profile.class),

	/** A customer. */
	ORGANISATION(Organisation.class),

	/** A model or a plain service. */
	SERVICE(Service.class),

	/** An endpoint of a service. */
	ENDPOINT(Endpoint.class);

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true)
		.build();

	private static final String NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9._-]{0,62}";

	private final Class<? extends Entity> type;

	EntityKind(Class<? extends Entity> type) {
		this.type = type;
	}

	/**
	 * Parses and validates the JSON form of an entity.
	 * @param name qualified name
	 * @param json the JSON form
	 * @return the entity, or the reason why the name or the JSON is not valid
	 */
	public Either<String, Entity> parse(String name, String json) {
		if (!name.matches(NAME_PATTERN)) {
			return Either.left("name \"" + name + "\" is not of the form fleet/name in lower case");
		}
		try {
			Entity entity = MAPPER.readValue(json, this.type);
			if (entity == null) {
				return Either.left("the body is empty");
			}
			String validationError = entity.validationError();
			return validationError.isEmpty() ? Either.right(entity) : Either.left(validationError);
		}
		catch (JsonProcessingException ex) {
			return Either.left(ex.getOriginalMessage());
		}
	}

	/**
	 * Returns the JSON form of an entity.
	 * @param entity the entity
	 * @return the JSON form, with property names in snake case
	 */
	public static String toJson(Entity entity) {
		try {
			return MAPPER.writeValueAsString(entity);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	/**
	 * Returns the name of the kind in records, in paths and on the command line.
	 * @return the lower-case name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its label.
	 * @param label the lower-case name
	 * @return the kind, or nothing if no kind has the label
	 */
	public static Option<EntityKind> ofLabel(String label) {
		for (EntityKind kind : values()) {
			if (kind.label().equals(label)) {
				return Option.of(kind);
			}
		}
		return Option.none();
	}

}
