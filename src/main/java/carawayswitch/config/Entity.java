package carawayswitch.config;

/**
 * An entity of the configuration. Implementations are immutable records.
 */
public sealed interface Entity permits Tier, Profile, Organisation, Service, Endpoint {

	/**
	 * Validates the fields of the entity. References to other entities are not checked.
	 * @return a message that names the invalid field, or empty if the entity is valid
	 */
	String validationError();

}
