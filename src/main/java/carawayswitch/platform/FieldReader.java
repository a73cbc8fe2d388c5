package carawayswitch.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import carawayswitch.check.Finding;

/**
 * Reads the fields of a JSON value as leniently as {@link JsonNode} does: a value of
 * another type gives the default. It records where that happens, and the fields that
 * nobody has read. A record names paths and types but no values, which may be secret. Not
 * safe for use by several threads.
 */
final class FieldReader {

	private final JsonNode node;

	private final FieldReader parent;

	private final String step;

	private final List<Finding> errors;

	private final List<Finding> warnings;

	private final Set<String> known = new HashSet<>();

	/**
	 * Creates a reader of a whole text, which should be an object.
	 * @param tree the parsed text
	 */
	FieldReader(JsonNode tree) {
		this(tree, null, "", new ArrayList<>(), new ArrayList<>());
		requireObject();
	}

	private FieldReader(JsonNode node, FieldReader parent, String step, List<Finding> errors, List<Finding> warnings) {
		this.node = node;
		this.parent = parent;
		this.step = step;
		this.errors = errors;
		this.warnings = warnings;
	}

	/**
	 * Returns the values that were not read as they are written, of the whole text.
	 * @return the findings so far
	 */
	List<Finding> errors() {
		return this.errors;
	}

	/**
	 * Returns the fields that were not read, and values that count as another one, of the
	 * whole text.
	 * @return the findings so far
	 */
	List<Finding> warnings() {
		return this.warnings;
	}

	boolean has(String name) {
		return this.node.has(name);
	}

	boolean isObject() {
		return this.node.isObject();
	}

	boolean isNonEmptyList(String name) {
		return this.node.path(name).isArray() && !this.node.path(name).isEmpty();
	}

	long longValue(String name, long defaultValue) {
		JsonNode value = field(name);
		require(name, value, isInteger(value, Long.MIN_VALUE, Long.MAX_VALUE), "a whole number");
		return value.asLong(defaultValue);
	}

	int intValue(String name, int defaultValue) {
		JsonNode value = field(name);
		require(name, value, isInteger(value, Integer.MIN_VALUE, Integer.MAX_VALUE), "a whole number of 32 bits");
		return value.asInt(defaultValue);
	}

	double doubleValue(String name) {
		JsonNode value = field(name);
		boolean valid = value.isNumber()
				|| value.isTextual() && value.textValue().matches("-?\\d{1,15}(\\.\\d{1,15})?");
		require(name, value, valid, "a number");
		return value.asDouble();
	}

	boolean flag(String name) {
		JsonNode value = field(name);
		boolean valid = value.isBoolean() || value.isTextual() && value.textValue().matches("true|false");
		require(name, value, valid, "true or false");
		return value.asBoolean();
	}

	String text(String name) {
		JsonNode value = field(name);
		require(name, value, isText(value), "text");
		return value.asText();
	}

	/**
	 * Reads a text that should be one of several; any other one counts as the last.
	 * @param name name of the field
	 * @param values the values
	 * @return the text
	 */
	String choice(String name, String... values) {
		String text = text(name);
		if (!field(name).isMissingNode() && !List.of(values).contains(text)) {
			this.warnings.add(new Finding(path(name),
					"is unknown and counts as " + values[values.length - 1] + "; valid: " + List.of(values)));
		}
		return text;
	}

	FieldReader object(String name) {
		FieldReader value = child(field(name), name);
		value.requireObject();
		return value;
	}

	List<FieldReader> objects(String name) {
		List<FieldReader> elements = elements(name);
		elements.forEach(FieldReader::requireObject);
		return elements;
	}

	List<String> texts(String name) {
		List<String> texts = new ArrayList<>();
		for (FieldReader element : elements(name)) {
			element.require("", element.node, isText(element.node), "text");
			texts.add(element.node.asText());
		}
		return texts;
	}

	/**
	 * Names fields of this object that other programs read.
	 * @param names the names
	 */
	void skip(String... names) {
		this.known.addAll(List.of(names));
	}

	/**
	 * Reports the fields of this object that were neither read nor skipped so far.
	 */
	void reportUnknownFields() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.known.contains(name)) {
				this.warnings.add(new Finding(path(name), "is not read by the gateway"));
			}
		});
	}

	// The values of an object count as elements. They are named by their positions, since
	// the names of its fields may be secret where a list of keys is expected.
	private List<FieldReader> elements(String name) {
		JsonNode list = field(name);
		require(name, list, list.isArray(), "a list");
		List<FieldReader> elements = new ArrayList<>();
		for (JsonNode element : list) {
			elements.add(child(element, name + "[" + elements.size() + "]"));
		}
		return elements;
	}

	private JsonNode field(String name) {
		this.known.add(name);
		return this.node.path(name);
	}

	private FieldReader child(JsonNode value, String name) {
		return new FieldReader(value, this, name, this.errors, this.warnings);
	}

	private void requireObject() {
		require("", this.node, this.node.isObject(), "an object");
	}

	private void require(String name, JsonNode value, boolean valid, String validValues) {
		if (!valid && !value.isMissingNode()) {
			String path = path(name);
			this.errors.add(
					new Finding(path.isEmpty() ? "the text" : path, "is " + typeOf(value) + "; valid: " + validValues));
		}
	}

	private String path(String name) {
		String prefix = (this.parent != null) ? this.parent.path(this.step) : "";
		return (prefix.isEmpty() || name.isEmpty()) ? prefix + name : prefix + "." + name;
	}

	private static boolean isText(JsonNode value) {
		return value.isTextual() || value.isIntegralNumber() || value.isBoolean();
	}

	private static boolean isInteger(JsonNode value, long min, long max) {
		if (value.isTextual() && value.textValue().matches("-?\\d{1,18}")) {
			long number = Long.parseLong(value.textValue());
			return number >= min && number <= max;
		}
		return value.isNumber() && value.canConvertToLong() && value.doubleValue() % 1 == 0 && value.longValue() >= min
				&& value.longValue() <= max;
	}

	private static String typeOf(JsonNode value) {
		return switch (value.getNodeType()) {
			case OBJECT -> "an object";
			case ARRAY -> "a list";
			case STRING -> "text";
			case NUMBER -> "a number that cannot be used";
			case BOOLEAN -> "true or false";
			default -> "null";
		};
	}

}
