package carawayswitch.message;

import java.io.IOException;

import org.msgpack.core.MessagePacker;

/**
 * Message between hosts or record of the log. Implementations are immutable Java records
 * generated from {@code schema/messages.yml}.
 */
public interface Message {

	/**
	 * Returns the number that identifies the type of the message.
	 * @return the id of the message type
	 */
	int messageId();

	/**
	 * Writes the fields as a MessagePack map from tag to value.
	 * @param packer the packer to write to
	 * @throws IOException if the packer cannot write
	 */
	void writeTo(MessagePacker packer) throws IOException;

}
