package carawayswitch.check;

/**
 * An error or a warning about a configuration. Immutable. Neither text holds an API key.
 *
 * @param at path of a field, or kind and name of an entry
 * @param message what is wrong
 */
public record Finding(String at, String message) {

	@Override
	public String toString() {
		return this.at + ": " + this.message;
	}

}
