package carawayswitch.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;

import io.activej.common.function.RunnableEx;
import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import carawayswitch.message.Message;
import carawayswitch.time.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the internal port closes a connection of another protocol at once. Guards
 * against taking foreign bytes, such as an HTTP request or a TLS handshake, for a huge
 * frame length and waiting for a frame that never completes.
 */
class ForeignProtocolTests implements PeerHandler {

	/**
	 * Long enough that only the rejection of the bytes can close the connection within
	 * the test.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 600_000;

	private final Eventloop eventLoop = Eventloop.builder().withTimeProvider(MonotonicClock::millis).build();

	private InetSocketAddress address;

	@BeforeEach
	void start() {
		this.eventLoop.keepAlive(true);
		new Thread(this.eventLoop, "loop").start();
		PeerTransport transport = new PeerTransport(this.eventLoop, new PeerIdentity("a", 1, "secret"),
				new PeerTransport.Timing(50, SILENCE_TIMEOUT_MILLIS), (peer) -> "", this);
		RunnableEx listen = () -> this.address = transport
			.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.eventLoop.submit(listen).join();
	}

	@AfterEach
	void stop() {
		this.eventLoop.execute(() -> {
			this.eventLoop.keepAlive(false);
			this.eventLoop.breakEventloop();
		});
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\u0016\u0003\u0001\u0002\u0000\u0001",
			"\u0000\u0001\u0000\u0000", "\u00ff\u00ff\u00ff\u00ff" })
	void connectionOfAnotherProtocolIsClosed(String bytes) throws IOException {
		try (Socket socket = new Socket(this.address.getAddress(), this.address.getPort())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Override
	public void onMessage(String peer, long incarnation, Message message) {
		throw new IllegalStateException("unexpected message");
	}

	@Override
	public Set<String> awaitedPeers() {
		return Set.of();
	}

	@Override
	public void onPeerLost(String peer) {
	}

}
