package carawayswitch.config;

import java.util.List;

/**
 * A model or a plain service with the profiles that it runs under. Immutable.
 *
 * @param engine true for a model that engines run, false for a plain service
 * @param profiles names of the accepted profiles; the first is the default
 */
public record Service(boolean engine, List<String> profiles) implements Entity {

	@Override
	public String validationError() {
		boolean valid = this.profiles != null && !this.profiles.isEmpty();
		return valid ? "" : "profiles is empty; valid: at least one profile";
	}

}
