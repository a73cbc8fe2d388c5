package carawayswitch.transport;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.csp.binary.decoder.ByteBufsDecoder;
import io.activej.csp.binary.decoder.ByteBufsDecoders;

import carawayswitch.message.Message;
import carawayswitch.message.MessageCodec;

/**
 * Frames of the internal protocol: a length of four bytes, then one message. Stateless.
 */
final class Frames {

	/** Largest accepted frame in bytes. */
	static final int MAX_BYTES = 128 * 1024 * 1024;

	private Frames() {
	}

	static ByteBuf encode(Message message) {
		byte[] payload = MessageCodec.encode(message);
		ByteBuf frame = ByteBufPool.allocate(Integer.BYTES + payload.length);
		frame.writeInt(payload.length);
		frame.put(payload);
		return frame;
	}

	static ByteBufsDecoder<ByteBuf> decoder() {
		return ByteBufsDecoders.ofIntSizePrefixedBytes(MAX_BYTES);
	}

}
