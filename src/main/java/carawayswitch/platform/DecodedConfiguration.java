package carawayswitch.platform;

import java.util.List;
import java.util.Optional;

import carawayswitch.check.Finding;
import carawayswitch.route.ConfigurationEntries;

/**
 * A decoded configuration with what the decoder did not read as it is written. Immutable.
 *
 * @param entries the configuration, or empty if the text is not JSON
 * @param errors values of a wrong type, in whose place defaults count
 * @param warnings fields that are not read, and unknown values that count as another one
 */
public record DecodedConfiguration(Optional<ConfigurationEntries> entries, List<Finding> errors,
		List<Finding> warnings) {

}
