package carawayswitch.transport;

import java.util.function.Consumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.AbstractChannelConsumer;
import io.activej.promise.Promise;

/**
 * Channel consumer that passes each frame to a callback. Confined to the reactor thread
 * of the transport.
 */
final class FrameConsumer extends AbstractChannelConsumer<ByteBuf> {

	private final Consumer<ByteBuf> onFrame;

	FrameConsumer(Consumer<ByteBuf> onFrame) {
		this.onFrame = onFrame;
	}

	@Override
	protected Promise<Void> doAccept(ByteBuf frame) {
		if (frame != null) {
			this.onFrame.accept(frame);
		}
		return Promise.complete();
	}

}
