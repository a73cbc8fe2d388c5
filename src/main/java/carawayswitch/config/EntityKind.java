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
 * Kinds of configured entities with their checks. Stateless.
 */
public enum EntityKind {

	/** A tier of a fleet. */
	TIER(Tier.class),

	/** A profile of a fleet. */
	PROFILE(Profile.class),

	/** An organisation. */
	ORGANISATION(Organisation.class),

	/** A model or plain service. */
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
	 * Parses and checks the JSON form of an entity.
	 * @param name qualified name
	 * @param json the JSON form
	 * @return the entity, or the reason why it is not valid
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
	 * @return the JSON form
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
	 * Returns the name in records and on the command line.
	 * @return the lower-case name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its label.
	 * @param label the lower-case name
	 * @return the kind, or nothing
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
