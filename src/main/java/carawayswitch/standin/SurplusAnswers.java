package carawayswitch.standin;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.ServerConnection;

/**
 * Sends more than the plain answers of a stand-in: some answers a second time, each where
 * the next answer on its connection is expected, and beginnings of some answers, broken
 * off at any byte. {@link #copies} and {@link #beginnings} may be called by any thread;
 * all else runs on the thread of the event loop.
 */
public final class SurplusAnswers {

	/** Time after an answer at which its beginning follows. */
	private static final long SHORT_DELAY_MILLIS = 1;

	/** Offset of the reason phrase in an answer. */
	private static final int REASON_OFFSET = "HTTP/1.1 200 ".length();

	private final SplittableRandom random = new SplittableRandom(1);

	private final Map<ServerConnection, Runnable> copies = new HashMap<>();

	private volatile double copyShare;

	private volatile Beginnings beginnings = new Beginnings(Moment.SAME_WRITE, 0);

	/** Whether the answer that is being written is sent with a beginning. */
	private boolean withBeginning;

	SurplusAnswers() {
	}

	/**
	 * Sets the share of the answers that are sent twice.
	 * @param share a share from 0 to 1
	 */
	void copies(double share) {
		this.copyShare = share;
	}

	/**
	 * Sets the share of the answers whose beginning is sent, too.
	 * @param moment when a beginning is sent
	 * @param share a share from 0 to 1
	 */
	void beginnings(Moment moment, double share) {
		this.beginnings = new Beginnings(moment, share);
	}

	/**
	 * Returns the socket through which a connection must send its answers.
	 * @param socket socket of the connection
	 * @return a socket that adds the beginnings of answers
	 */
	ITcpSocket socket(ITcpSocket socket) {
		return new SurplusSocket(socket);
	}

	/**
	 * Sends an answer, perhaps with a beginning of it, and keeps it, perhaps, to send it
	 * once more later.
	 * @param connection connection of the request
	 * @param status status code
	 * @param headers headers
	 * @param body body
	 */
	void respond(ServerConnection connection, int status, HttpHeaders headers, byte[] body) {
		this.withBeginning = this.random.nextDouble() < this.beginnings.share();
		connection.respond(status, headers, body);
		this.withBeginning = false;
		if (this.random.nextDouble() < this.copyShare) {
			this.copies.put(connection, () -> connection.respond(status, headers, body));
		}
	}

	/**
	 * Sends the copy of an earlier answer, since a request has arrived.
	 * @param connection connection of the request
	 */
	void onRequest(ServerConnection connection) {
		Runnable copy = this.copies.remove(connection);
		if (copy != null) {
			copy.run();
		}
	}

	void onClosed(ServerConnection connection) {
		this.copies.remove(connection);
	}

	// Every second cut is behind the status code; few others can be read as a part of the
	// next head.
	private byte[] beginningOf(byte[] answer) {
		boolean behindStatusCode = this.random.nextBoolean();
		int from = behindStatusCode ? REASON_OFFSET : 1;
		int to = behindStatusCode ? REASON_OFFSET + 2 : answer.length;
		return Arrays.copyOf(answer, from + this.random.nextInt(to - from));
	}

	/** When the beginning of an answer is sent. */
	public enum Moment {

		/** Behind the complete answer, in the same write. */
		SAME_WRITE {
			@Override
			Promise<Void> write(SurplusSocket socket, byte[] answer, byte[] beginning) {
				return socket.writeBytes(concatenated(answer, beginning));
			}
		},

		/** Shortly after the complete answer. */
		SHORTLY_AFTER {
			@Override
			Promise<Void> write(SurplusSocket socket, byte[] answer, byte[] beginning) {
				Promise<Void> written = socket.writeBytes(answer);
				Promises.delay(SHORT_DELAY_MILLIS).whenResult(() -> socket.writeBytes(beginning));
				return written;
			}
		},

		/** Before the next answer, in the same write. */
		BEFORE_NEXT {
			@Override
			Promise<Void> write(SurplusSocket socket, byte[] answer, byte[] beginning) {
				Promise<Void> written = socket.writeBytes(answer);
				socket.beforeNext = beginning;
				return written;
			}
		};

		abstract Promise<Void> write(SurplusSocket socket, byte[] answer, byte[] beginning);

		private static byte[] concatenated(byte[] first, byte[] second) {
			byte[] all = Arrays.copyOf(first, first.length + second.length);
			System.arraycopy(second, 0, all, first.length, second.length);
			return all;
		}

	}

	private record Beginnings(Moment moment, double share) {

	}

	/**
	 * Socket that adds beginnings of answers to what a connection writes.
	 */
	private final class SurplusSocket implements ITcpSocket {

		private final ITcpSocket socket;

		private byte[] beforeNext = new byte[0];

		SurplusSocket(ITcpSocket socket) {
			this.socket = socket;
		}

		@Override
		public Promise<Void> write(ByteBuf buffer) {
			byte[] answer = buffer.asArray();
			return SurplusAnswers.this.withBeginning
					? SurplusAnswers.this.beginnings.moment().write(this, answer, beginningOf(answer))
					: writeBytes(answer);
		}

		private Promise<Void> writeBytes(byte[] bytes) {
			if (isClosed()) {
				return Promise.complete();
			}
			byte[] all = Moment.concatenated(this.beforeNext, bytes);
			this.beforeNext = new byte[0];
			return this.socket.write(ByteBuf.wrapForReading(all));
		}

		@Override
		public Promise<ByteBuf> read() {
			return this.socket.read();
		}

		@Override
		public boolean isReadAvailable() {
			return this.socket.isReadAvailable();
		}

		@Override
		public boolean isClosed() {
			return this.socket.isClosed();
		}

		@Override
		public void closeEx(Exception ex) {
			this.socket.closeEx(ex);
		}

	}

}
