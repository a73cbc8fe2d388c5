import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Server with a thread for each connection. Thread-safe. */
final class Server {

	private final ServerSocket listener;

	Server(Handler handler) throws IOException {
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
		daemon(() -> {
			while (!this.listener.isClosed()) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				daemon(() -> {
					try (socket) {
						handler.handle(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
					}
					catch (IOException ex) {
						// The peer closed or reset the connection.
					}
				});
			}
		});
	}

	/** Starts a daemon thread. */
	static Thread daemon(Action action) {
		Thread thread = new Thread(() -> {
			try {
				action.run();
			}
			catch (InterruptedException | IOException ex) {
				// The thread ends with its connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/** Serves one connection until it returns. */
	interface Handler {

		void handle(Socket socket, InputStream in, OutputStream out) throws IOException;

	}

	/** Body of a thread. */
	interface Action {

		void run() throws IOException, InterruptedException;

	}

}
