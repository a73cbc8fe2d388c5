import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Loopback proxy in front of one port, which can reset all its channels. Thread-safe. */
final class Proxy {

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Server server;

	private volatile boolean resetting;

	Proxy(int port) throws IOException {
		this.server = new Server((client, in, out) -> {
			if (this.resetting) {
				reset(client);
				return;
			}
			try (Socket target = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
				target.setTcpNoDelay(true);
				this.sockets.add(client);
				this.sockets.add(target);
				Thread back = Server.daemon(() -> copy(target.getInputStream(), out));
				try {
					copy(in, target.getOutputStream());
				}
				finally {
					this.sockets.remove(client);
					this.sockets.remove(target);
					target.close();
					back.interrupt();
				}
			}
		});
	}

	String address() {
		return this.server.address();
	}

	private static void copy(InputStream in, OutputStream out) throws IOException {
		byte[] buffer = new byte[64 * 1024];
		for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
			out.write(buffer, 0, count);
			out.flush();
		}
	}

	/** Resets all channels, and new ones until it is called with false. */
	void resetting(boolean value) {
		this.resetting = value;
		if (value) {
			this.sockets.forEach(Proxy::reset);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

}
