package carawayswitch.transport;

import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.common.exception.MalformedDataException;
import io.activej.csp.binary.decoder.ByteBufsDecoder;
import io.vavr.control.Option;

import carawayswitch.message.Message;
import carawayswitch.message.MessageCodec;

/**
 * Codec for the frames of the internal protocol. A frame is a big-endian length of four
 * bytes, followed by one encoded message. Stateless.
 */
final class FrameCodec {

	/** Largest accepted frame in bytes; large enough for a request with a large body. */
	static final int MAX_FRAME_BYTES = 128 * 1024 * 1024;

	/**
	 * Largest frame in bytes that is accepted before the peer has proved that it knows
	 * the shared secret.
	 */
	static final int MAX_HANDSHAKE_BYTES = 4096;

	private FrameCodec() {
	}

	static ByteBuf encode(Message message) {
		byte[] payload = MessageCodec.encode(message);
		ByteBuf frame = ByteBufPool.allocate(Integer.BYTES + payload.length);
		frame.writeInt(payload.length);
		frame.put(payload);
		return frame;
	}

	/**
	 * Counts a frame that was received from another host and decodes its message.
	 * @param frame the frame
	 * @param traffic counts the bytes of the frame
	 * @param onMalformed called with the reason if the frame cannot be decoded
	 * @return the message, or none if it is malformed or of an unknown type
	 */
	static Option<Message> receive(ByteBuf frame, TrafficCounter traffic, Consumer<String> onMalformed) {
		traffic.recordReceived(frame.readRemaining());
		return MessageCodec.decode(frame.asArray())
			.onFailure((failure) -> onMalformed.accept("malformed message: " + failure.getMessage()))
			.getOrElse(Option.none());
	}

	/**
	 * Creates a decoder that splits a byte stream into frames. A length that is negative
	 * or beyond the limit fails at once, so that the bytes of another protocol are not
	 * taken as a length for which the decoder waits.
	 * @param maxFrameBytes supplies the largest frame in bytes that is currently accepted
	 * @return the decoder
	 */
	static ByteBufsDecoder<ByteBuf> decoder(IntSupplier maxFrameBytes) {
		return (buffers) -> {
			if (!buffers.hasRemainingBytes(Integer.BYTES)) {
				return null;
			}
			int length = 0;
			for (int i = 0; i < Integer.BYTES; i++) {
				length = (length << Byte.SIZE) | (buffers.peekByte(i) & 0xff);
			}
			if (length < 0 || length > maxFrameBytes.getAsInt()) {
				throw new MalformedDataException(
						"frame of " + length + " bytes; valid: 0 to " + maxFrameBytes.getAsInt());
			}
			if (!buffers.hasRemainingBytes(Integer.BYTES + length)) {
				return null;
			}
			buffers.skip(Integer.BYTES);
			return buffers.takeExactSize(length);
		};
	}

}
