package carawayswitch.cli;

import java.net.InetSocketAddress;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Factories for command-line options, and parsers for their values. Stateless.
 */
final class CommonOptions {

	private CommonOptions() {
	}

	static Option flagOption(String name, String description) {
		return Option.builder().longOpt(name).desc(description).build();
	}

	static Option valueOption(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

	static Options operatorOptions() {
		return new Options()
			.addOption(valueOption("host", "ADDRESS", "IP address and port of any host. Default: 127.0.0.1:8080."))
			.addOption(valueOption("token", "TOKEN",
					"Token of the operators. Default: the value of the variable CARAWAYSWITCH_TOKEN."))
			.addOption(flagOption("json", "Prints JSON instead of a table. Default: off."));
	}

	static long parseNumber(CommandLine line, String name, long defaultValue, long min, long max)
			throws UsageException {
		String text = line.getOptionValue(name);
		if (text == null) {
			return defaultValue;
		}
		boolean valid = text.matches("\\d{1,15}") && Long.parseLong(text) >= min && Long.parseLong(text) <= max;
		if (!valid) {
			throw new UsageException("--" + name + " is \"" + text + "\"; valid: " + min + " to " + max);
		}
		return Long.parseLong(text);
	}

	static InetSocketAddress parseAddress(CommandLine line, String name, String defaultValue) throws UsageException {
		String text = line.getOptionValue(name, defaultValue);
		if (!text.matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}")) {
			throw new UsageException(
					"--" + name + " is \"" + text + "\"; valid: an IP address with a port, such as 127.0.0.1:8080");
		}
		int colon = text.indexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
