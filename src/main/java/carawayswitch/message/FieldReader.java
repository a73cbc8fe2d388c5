package carawayswitch.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageUnpacker;

/**
 * Reads binary, list and nullable field values from MessagePack. Stateless.
 */
final class FieldReader {

	private FieldReader() {
	}

	static byte[] bytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

	static <T> List<T> list(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<T> elements = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			elements.add(reader.read(unpacker));
		}
		return List.copyOf(elements);
	}

	static <T> T nullable(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
		return unpacker.tryUnpackNil() ? null : reader.read(unpacker);
	}

	/**
	 * Reads one value from MessagePack.
	 *
	 * @param <T> type of the value
	 */
	interface Reader<T> {

		T read(MessageUnpacker unpacker) throws IOException;

	}

}
