package carawayswitch.cli;

import java.net.InetSocketAddress;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Options that several commands share, and readers for their values. Stateless.
 */
final class CommonOptions {

	private CommonOptions() {
	}

	static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).build();
	}

	static Option value(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

	static Options operator() {
		return new Options().addOption(value("host", "ADDRESS", "Address of any host. Default: 127.0.0.1:8080."))
			.addOption(value("token", "TOKEN", "Operators' token. Default: the variable CARAWAYSWITCH_TOKEN."))
			.addOption(flag("json", "Prints JSON in place of a table. Default: off."));
	}

	static long number(CommandLine line, String name, long defaultValue, long min, long max) throws UsageException {
		String given = line.getOptionValue(name);
		if (given == null) {
			return defaultValue;
		}
		boolean valid = given.matches("\\d{1,15}") && Long.parseLong(given) >= min && Long.parseLong(given) <= max;
		if (!valid) {
			throw new UsageException("--" + name + " is \"" + given + "\"; valid: " + min + " to " + max);
		}
		return Long.parseLong(given);
	}

	static InetSocketAddress address(CommandLine line, String name, String defaultValue) throws UsageException {
		String given = line.getOptionValue(name, defaultValue);
		if (!given.matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}")) {
			throw new UsageException(
					"--" + name + " is \"" + given + "\"; valid: an IP address with a port, such as 127.0.0.1:8080");
		}
		int colon = given.indexOf(':');
		return new InetSocketAddress(given.substring(0, colon), Integer.parseInt(given.substring(colon + 1)));
	}

}
