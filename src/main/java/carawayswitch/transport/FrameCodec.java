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
 * Frames of the internal protocol: a length of four bytes, then one message. Stateless.
 */
final class FrameCodec {

	/** Largest accepted frame in bytes; a request with a large body fits. */
	static final int MAX_FRAME_BYTES = 128 * 1024 * 1024;

	/**
	 * Largest frame in bytes before the other side has proved that it knows the secret.
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
	 * Takes in a frame of another host.
	 * @param frame the frame
	 * @param traffic counts it
	 * @param onMalformed receives the reason if the frame holds no message
	 * @return the message; nothing if it is malformed or of an unknown type
	 */
	static Option<Message> receive(ByteBuf frame, TrafficCounter traffic, Consumer<String> onMalformed) {
		traffic.recordReceived(frame.readRemaining());
		return MessageCodec.decode(frame.asArray())
			.onFailure((failure) -> onMalformed.accept("malformed message: " + failure.getMessage()))
			.getOrElse(Option.none());
	}

	/**
	 * Creates a decoder. A length beyond the limit fails at once, so that bytes of
	 * another protocol are not waited for.
	 * @param maxFrameBytes returns the largest frame in bytes that is accepted now
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
