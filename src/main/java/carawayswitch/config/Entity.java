package carawayswitch.config;

/**
 * A configured entity. Implementations are immutable records.
 */
public sealed interface Entity permits Tier, Profile, Organisation, Service, Endpoint {

	/**
	 * Checks the entity by itself.
	 * @return what is wrong, or empty if the entity is valid
	 */
	String validationError();

}
