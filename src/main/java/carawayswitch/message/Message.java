package carawayswitch.message;

import java.io.IOException;

import org.msgpack.core.MessagePacker;

/**
 * A message between hosts or a record of the log. Implementations are immutable records
 * that are generated from the schema.
 */
public interface Message {

	/**
	 * Returns the number that identifies the type of the message.
	 * @return the id of the message type
	 */
	int messageId();

	/**
	 * Writes the fields as a map from tag to value.
	 * @param packer the target
	 * @throws IOException if the target fails
	 */
	void writeTo(MessagePacker packer) throws IOException;

}
