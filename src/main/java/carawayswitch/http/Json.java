package carawayswitch.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

/**
 * Reads and writes JSON. Stateless and safe for use by several threads.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	/**
	 * Parses a JSON text.
	 * @param bytes the text in UTF-8
	 * @return the tree, or a failure if the text is malformed or empty
	 */
	public static Try<JsonNode> parse(byte[] bytes) {
		return Try.of(() -> MAPPER.readTree(bytes)).filter((tree) -> tree != null && !tree.isMissingNode());
	}

	/**
	 * Creates an empty JSON object.
	 * @return the object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Serialises a tree.
	 * @param tree the tree
	 * @return the text in UTF-8
	 */
	public static byte[] bytes(JsonNode tree) {
		try {
			return MAPPER.writeValueAsBytes(tree);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

}
