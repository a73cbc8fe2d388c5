package carawayswitch.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

/**
 * Reads and writes JSON. Trees are built on the streaming parser and generator, since the
 * creation of an {@code ObjectMapper} takes a tenth of the processor time of a start of a
 * gateway. Stateless and safe for use by several threads.
 */
public final class Json {

	/**
	 * Most levels of a text. Trees are read and written recursively, and the threads of a
	 * host have stacks of 256 KB, which 1000 levels overflow.
	 */
	static final int MAX_DEPTH = 200;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
		.build();

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private Json() {
	}

	/**
	 * Parses a JSON text. Of several fields of one name in an object the last one counts;
	 * what follows the first value is ignored.
	 * @param bytes the text in UTF-8
	 * @return the tree, or a failure if the text is malformed, empty or deeper than
	 * {@link #MAX_DEPTH}
	 */
	public static Try<JsonNode> parse(byte[] bytes) {
		try (JsonParser parser = FACTORY.createParser(bytes)) {
			JsonToken first = parser.nextToken();
			if (first == null) {
				return Try.failure(new IOException("the text is empty"));
			}
			return Try.success(read(parser, first));
		}
		catch (IOException ex) {
			return Try.failure(ex);
		}
	}

	// The parser limits the depth of a text to MAX_DEPTH.
	private static JsonNode read(JsonParser parser, JsonToken token) throws IOException {
		return switch (token) {
			case START_OBJECT -> readObject(parser);
			case START_ARRAY -> readArray(parser);
			case VALUE_STRING -> NODES.textNode(parser.getText());
			case VALUE_NUMBER_INT -> readInteger(parser);
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NULL -> NODES.nullNode();
			default -> throw new IOException("unexpected token " + token);
		};
	}

	private static ObjectNode readObject(JsonParser parser) throws IOException {
		ObjectNode object = NODES.objectNode();
		for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
			object.set(name, read(parser, parser.nextToken()));
		}
		return object;
	}

	private static ArrayNode readArray(JsonParser parser) throws IOException {
		ArrayNode array = NODES.arrayNode();
		for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
			array.add(read(parser, token));
		}
		return array;
	}

	private static JsonNode readInteger(JsonParser parser) throws IOException {
		return switch (parser.getNumberType()) {
			case INT -> NODES.numberNode(parser.getIntValue());
			case LONG -> NODES.numberNode(parser.getLongValue());
			default -> NODES.numberNode(parser.getBigIntegerValue());
		};
	}

	/**
	 * Creates an empty JSON object.
	 * @return the object
	 */
	public static ObjectNode object() {
		return NODES.objectNode();
	}

	/**
	 * Serialises a tree.
	 * @param tree the tree, which holds JSON values only
	 * @return the text in UTF-8
	 */
	public static byte[] bytes(JsonNode tree) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
			write(generator, tree);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException(ex);
		}
		return bytes.toByteArray();
	}

	private static void write(JsonGenerator generator, JsonNode tree) throws IOException {
		switch (tree.getNodeType()) {
			case OBJECT -> {
				generator.writeStartObject();
				for (var fields = tree.fields(); fields.hasNext();) {
					var field = fields.next();
					generator.writeFieldName(field.getKey());
					write(generator, field.getValue());
				}
				generator.writeEndObject();
			}
			case ARRAY -> {
				generator.writeStartArray();
				for (JsonNode element : tree) {
					write(generator, element);
				}
				generator.writeEndArray();
			}
			case STRING -> generator.writeString(tree.textValue());
			case BOOLEAN -> generator.writeBoolean(tree.booleanValue());
			case NUMBER -> writeNumber(generator, tree);
			case BINARY -> generator.writeBinary(tree.binaryValue());
			case NULL -> generator.writeNull();
			default -> throw new IOException("not a JSON value: " + tree.getNodeType());
		}
	}

	private static void writeNumber(JsonGenerator generator, JsonNode number) throws IOException {
		switch (number.numberType()) {
			case INT -> generator.writeNumber(number.intValue());
			case LONG -> generator.writeNumber(number.longValue());
			case BIG_INTEGER -> generator.writeNumber(number.bigIntegerValue());
			case FLOAT -> generator.writeNumber(number.floatValue());
			case DOUBLE -> generator.writeNumber(number.doubleValue());
			case BIG_DECIMAL -> generator.writeNumber(number.decimalValue());
		}
	}

}
