package carawayswitch.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * Relays connections on loopback and harms them on demand. Safe for use by several
 * threads.
 */
final class FaultProxy implements Closeable {

	private static final long DELAY_MILLIS = 120;

	private static final int BUFFER_BYTES = 16 * 1024;

	private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final InetSocketAddress target;

	private final AtomicReference<Harm> harm = new AtomicReference<>(Harm.NONE);

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	FaultProxy(InetSocketAddress target) throws IOException {
		this.target = target;
		daemon(this::accept);
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
	}

	void harm(Harm value) {
		this.harm.set(value);
		if (value == Harm.RESET) {
			this.open.forEach(FaultProxy::reset);
		}
	}

	private void accept() throws IOException {
		while (!this.server.isClosed()) {
			Socket near = this.server.accept();
			if (this.harm.get() == Harm.RESET) {
				reset(near);
				continue;
			}
			Socket far = new Socket();
			try {
				far.connect(this.target);
			}
			catch (IOException ex) {
				reset(near);
				continue;
			}
			this.open.add(near);
			this.open.add(far);
			daemon(() -> copy(near, far, true));
			daemon(() -> copy(far, near, false));
		}
	}

	// A connection that fell silent stays silent, while new ones work afterwards.
	private void copy(Socket from, Socket to, boolean towardsTarget) {
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean silent = false;
		try {
			for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream()
				.read(buffer)) {
				Harm current = this.harm.get();
				silent |= current == Harm.SILENCE || current == Harm.CUT_ANSWERS && !towardsTarget;
				if (current == Harm.DELAY) {
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELAY_MILLIS));
				}
				if (!silent) {
					to.getOutputStream().write(buffer, 0, count);
				}
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			reset(to);
		}
		finally {
			this.open.remove(from);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is closed already, which is what was wanted.
		}
	}

	private static void daemon(Body body) {
		Thread thread = new Thread(() -> {
			try {
				body.run();
			}
			catch (SocketException ex) {
				// The proxy was closed.
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.open.forEach(FaultProxy::reset);
	}

	/** What is done to connections. Immutable. */
	enum Harm {

		/** Nothing. */
		NONE,

		/** Bytes arrive late. */
		DELAY,

		/** Open and new connections are reset. */
		RESET,

		/** Connections that are used fall silent for good. */
		SILENCE,

		/** Answers are lost, requests arrive. */
		CUT_ANSWERS

	}

	private interface Body {

		void run() throws IOException;

	}

}
