package carawayswitch.endpoint;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;

/**
 * Reads a response body chunk by chunk. Chunks that are already buffered are read in a
 * loop, not by recursion. Stateless.
 */
final class BodyReader {

	private BodyReader() {
	}

	static void read(ChannelSupplier<ByteBuf> body, ChunkConsumer consumer) {
		while (true) {
			Promise<ByteBuf> next = body.get();
			if (!next.isComplete()) {
				next.subscribe((chunk, failure) -> {
					if (deliver(chunk, failure, consumer)) {
						read(body, consumer);
					}
				});
				return;
			}
			Exception failure = next.isException() ? next.getException() : null;
			if (!deliver((failure != null) ? null : next.getResult(), failure, consumer)) {
				return;
			}
		}
	}

	private static boolean deliver(ByteBuf chunk, Exception failure, ChunkConsumer consumer) {
		if (failure != null) {
			consumer.onFailure(String.valueOf(failure.getMessage()));
			return false;
		}
		if (chunk == null) {
			consumer.onEnd();
			return false;
		}
		consumer.onChunk(chunk.asArray());
		return true;
	}

	/**
	 * Receives the chunks of a body. {@code onEnd} and {@code onFailure} are terminal.
	 */
	interface ChunkConsumer {

		void onChunk(byte[] chunk);

		void onEnd();

		void onFailure(String reason);

	}

}
