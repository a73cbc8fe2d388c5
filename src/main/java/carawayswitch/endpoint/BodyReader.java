package carawayswitch.endpoint;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;

/**
 * Reads a body piece by piece without recursion on pieces that are already there.
 * Stateless.
 */
final class BodyReader {

	private BodyReader() {
	}

	static void read(ChannelSupplier<ByteBuf> body, Consumer consumer) {
		while (true) {
			Promise<ByteBuf> next = body.get();
			if (!next.isComplete()) {
				next.subscribe((piece, failure) -> {
					if (deliver(piece, failure, consumer)) {
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

	private static boolean deliver(ByteBuf piece, Exception failure, Consumer consumer) {
		if (failure != null) {
			consumer.onFailure(String.valueOf(failure.getMessage()));
			return false;
		}
		if (piece == null) {
			consumer.onEnd();
			return false;
		}
		consumer.onPiece(piece.asArray());
		return true;
	}

	/**
	 * Receives the pieces of a body.
	 */
	interface Consumer {

		void onPiece(byte[] piece);

		void onEnd();

		void onFailure(String reason);

	}

}
