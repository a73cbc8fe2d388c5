package carawayswitch.message;

import java.io.IOException;
import java.io.UncheckedIOException;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as MessagePack arrays of message id and fields, and decodes them.
 * Stateless and safe for use by several threads.
 *
 * <pre>
 * byte[] bytes = MessageCodec.encode(new Ping(7));
 * Message message = MessageCodec.decode(bytes).get().get();
 * </pre>
 */
public final class MessageCodec {

	/** Elements of the outer array: message id and field map. */
	private static final int ELEMENT_COUNT = 2;

	private MessageCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the encoded message
	 */
	public static byte[] encode(Message message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(ELEMENT_COUNT);
			packer.packInt(message.messageId());
			message.writeTo(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded message
	 * @return the message, none if its type is unknown, or a failure if the bytes are
	 * malformed
	 */
	public static Try<Option<Message>> decode(byte[] bytes) {
		return Try.of(() -> {
			try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
				int elements = unpacker.unpackArrayHeader();
				if (elements < ELEMENT_COUNT) {
					throw new IOException("message has " + elements + " elements instead of " + ELEMENT_COUNT);
				}
				return Option.of(MessageReaders.read(unpacker.unpackInt(), unpacker));
			}
		});
	}

	/**
	 * Decodes a message of a given type.
	 * @param <T> type of the message
	 * @param type class of the message
	 * @param bytes the encoded message
	 * @return the message, or none if the bytes are malformed or hold another type
	 */
	public static <T extends Message> Option<T> decode(Class<T> type, byte[] bytes) {
		return decode(bytes).toOption().flatMap((message) -> message).filter(type::isInstance).map(type::cast);
	}

}
