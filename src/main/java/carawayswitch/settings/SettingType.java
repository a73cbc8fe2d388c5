package carawayswitch.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Option;
import io.vavr.control.Try;

/**
 * Types of setting values, each with a parser and a description of its text form.
 * Stateless.
 */
enum SettingType {

	/** Text that is not blank. */
	STRING("non-empty text") {
		@Override
		Option<Object> parse(String text) {
			return Option.<Object>of(text).filter((value) -> !text.isBlank());
		}
	},

	/** An integer of 32 bits. */
	INT("a whole number") {
		@Override
		Option<Object> parse(String text) {
			return Try.<Object>of(() -> Integer.parseInt(text)).toOption();
		}
	},

	/** A floating-point number. */
	DOUBLE("a number") {
		@Override
		Option<Object> parse(String text) {
			return Try.<Object>of(() -> Double.parseDouble(text)).toOption();
		}
	},

	/** A boolean: true or false. */
	BOOLEAN("true or false") {
		@Override
		Option<Object> parse(String text) {
			return Option.<Object>of(Boolean.valueOf(text)).filter((value) -> value.toString().equals(text));
		}
	},

	/** A duration with a unit. */
	DURATION("a duration such as 500ms, 2s, 5m or 1h") {
		@Override
		Option<Object> parse(String text) {
			return matchQuantity(text, "ms|s|m|h")
				.flatMap((quantity) -> toBaseUnit(quantity, switch (quantity.group(2)) {
					case "s" -> 1000L;
					case "m" -> 60_000L;
					case "h" -> 3_600_000L;
					default -> 1L;
				}))
				.map(Duration::ofMillis);
		}

		@Override
		String unit() {
			return " ms";
		}
	},

	/** A size in bytes with a unit; at most 2147483647 bytes. */
	BYTES("a size such as 4096b, 64kb or 8mb") {
		@Override
		Option<Object> parse(String text) {
			return matchQuantity(text, "b|kb|mb")
				.flatMap((quantity) -> toBaseUnit(quantity, switch (quantity.group(2)) {
					case "kb" -> 1024L;
					case "mb" -> 1024L * 1024;
					default -> 1L;
				}))
				.filter((value) -> value <= Integer.MAX_VALUE)
				.map(Long::intValue);
		}

		@Override
		String unit() {
			return " bytes";
		}
	},

	/** An IPv4 address with a port. */
	ADDRESS("an IP address with a port, such as 127.0.0.1:8080") {
		@Override
		Option<Object> parse(String text) {
			Matcher address = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})").matcher(text);
			if (!address.matches()) {
				return Option.none();
			}
			return Try.<Object>of(() -> new InetSocketAddress(address.group(1), Integer.parseInt(address.group(2))))
				.toOption();
		}
	},

	/** An HTTP URL with an IP address and a port. */
	URL("an http URL with an IP address, such as http://127.0.0.1:7001") {
		@Override
		Option<Object> parse(String text) {
			return Option.<Object>of(text)
				.filter((value) -> text.matches("http://[0-9.]+:\\d+(/.*)?"))
				.map((value) -> URI.create(text));
		}
	},

	/** A SHA-256 hash in hexadecimal. */
	HASH("64 hexadecimal digits") {
		@Override
		Option<Object> parse(String text) {
			return Option.<Object>of(text.toLowerCase(Locale.ROOT)).filter((value) -> text.matches("[0-9a-fA-F]{64}"));
		}
	},

	/** A secret, which is never shown in errors. */
	SECRET("at least 16 characters") {
		@Override
		Option<Object> parse(String text) {
			return Option.<Object>of(text).filter((value) -> text.length() >= MIN_SECRET_LENGTH);
		}
	};

	private static final int MIN_SECRET_LENGTH = 16;

	private final String description;

	SettingType(String description) {
		this.description = description;
	}

	abstract Option<Object> parse(String text);

	String description() {
		return this.description;
	}

	String unit() {
		return "";
	}

	boolean isNumeric() {
		return this == INT || this == DOUBLE || this == DURATION || this == BYTES;
	}

	static double magnitude(Object value) {
		return (value instanceof Duration duration) ? duration.toMillis() : ((Number) value).doubleValue();
	}

	private static Option<Matcher> matchQuantity(String text, String units) {
		Matcher quantity = Pattern.compile("(\\d{1,12})(" + units + ")").matcher(text);
		return quantity.matches() ? Option.of(quantity) : Option.none();
	}

	private static Option<Long> toBaseUnit(Matcher quantity, long factor) {
		return Try.of(() -> Math.multiplyExact(Long.parseLong(quantity.group(1)), factor)).toOption();
	}

}
