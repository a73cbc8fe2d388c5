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

	private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final InetSocketAddress target;

	private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);

	private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

	FaultProxy(InetSocketAddress target) throws IOException {
		this.target = target;
		startDaemon(this::acceptConnections);
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listener.getLocalPort());
	}

	void fault(Fault newFault) {
		this.fault.set(newFault);
		if (newFault == Fault.RESET) {
			this.openSockets.forEach(FaultProxy::reset);
		}
	}

	private void acceptConnections() throws IOException {
		while (!this.listener.isClosed()) {
			Socket clientSocket = this.listener.accept();
			if (this.fault.get() == Fault.RESET) {
				reset(clientSocket);
				continue;
			}
			Socket targetSocket = new Socket();
			try {
				targetSocket.connect(this.target);
			}
			catch (IOException ex) {
				reset(clientSocket);
				continue;
			}
			this.openSockets.add(clientSocket);
			this.openSockets.add(targetSocket);
			startDaemon(() -> relay(clientSocket, targetSocket, true));
			startDaemon(() -> relay(targetSocket, clientSocket, false));
		}
	}

	// A connection that fell silent stays silent, while new ones work afterwards.
	private void relay(Socket from, Socket to, boolean towardsTarget) {
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean blackholed = false;
		try {
			for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream()
				.read(buffer)) {
				Fault currentFault = this.fault.get();
				blackholed |= currentFault == Fault.BLACKHOLE || currentFault == Fault.DROP_RESPONSES && !towardsTarget;
				if (currentFault == Fault.DELAY) {
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELAY_MILLIS));
				}
				if (!blackholed) {
					to.getOutputStream().write(buffer, 0, count);
				}
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			reset(to);
		}
		finally {
			this.openSockets.remove(from);
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

	private static void startDaemon(IoTask task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
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
		this.listener.close();
		this.openSockets.forEach(FaultProxy::reset);
	}

	/** What is done to connections. Immutable. */
	enum Fault {

		/** Nothing. */
		NONE,

		/** Bytes arrive late. */
		DELAY,

		/** Open and new connections are reset. */
		RESET,

		/** Connections that are used fall silent for good. */
		BLACKHOLE,

		/** Answers are lost, requests arrive. */
		DROP_RESPONSES

	}

	private interface IoTask {

		void run() throws IOException;

	}

}
