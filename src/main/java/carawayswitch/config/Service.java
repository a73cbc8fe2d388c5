package carawayswitch.config;

import java.util.List;

/**
 * A model or a plain service, with the profiles that its requests may use. Immutable.
 *
 * @param engine true for a model served by engines, false for a plain service
 * @param profiles names of the accepted profiles; the first is the default
 */
public record Service(boolean engine, List<String> profiles) implements Entity {

	@Override
	public String validationError() {
		boolean valid = this.profiles != null && !this.profiles.isEmpty();
		return valid ? "" : "profiles is empty; valid: at least one profile";
	}

}
