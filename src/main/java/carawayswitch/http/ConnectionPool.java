package carawayswitch.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.log.DecisionLog;

/**
 * Pool of keep-alive connections to servers. Invariants: a connection carries one request
 * at a time; a request id is not sent twice on a connection, since a response that comes
 * twice could not be told from the response to the second dispatch. Confined to the
 * thread of its event loop.
 *
 * <pre>
 * ConnectionPool.Call call = pool.send(address, request, options, listener);
 * call.cancel();
 * </pre>
 */
public final class ConnectionPool {

	private final NioReactor reactor;

	private final LongSupplier monotonicMillis;

	private final DecisionLog log;

	private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();

	private long openedConnections;

	/**
	 * Creates an empty pool.
	 * @param reactor the event loop
	 * @param monotonicMillis source of the monotonic time in milliseconds
	 * @param log receives a line when surplus input of a server is skipped or ends a
	 * connection
	 */
	public ConnectionPool(NioReactor reactor, LongSupplier monotonicMillis, DecisionLog log) {
		this.reactor = reactor;
		this.monotonicMillis = monotonicMillis;
		this.log = log;
	}

	/**
	 * Sends a request on an idle connection if one is usable, otherwise on a new one.
	 * @param address address of the server
	 * @param request the request
	 * @param options connection options
	 * @param listener receives the response
	 * @return the request in flight
	 */
	public Call send(InetSocketAddress address, OutgoingRequest request, Options options, ResponseListener listener) {
		Call call = new Call(address, listener);
		ClientConnection idleConnection = takeIdle(address, options);
		if (idleConnection != null) {
			call.connection = idleConnection;
			call.reused = true;
			call.transmit(request, options);
			return call;
		}
		this.openedConnections++;
		ClientConnection.open(this.reactor, address, options.connectTimeout(), this.monotonicMillis, this.log,
				this::removeIdle, (connection, failure) -> {
					if (failure == null && !call.finished) {
						listener.onConnected();
					}
					if (call.finished) {
						if (connection != null) {
							connection.close();
						}
					}
					else if (failure != null) {
						call.finished = true;
						listener.onNotSent("cannot connect: " + failure.getMessage());
					}
					else {
						call.connection = connection;
						call.transmit(request, options);
					}
				});
		return call;
	}

	// Returns the most recently used connection that may carry the request, or null.
	private ClientConnection takeIdle(InetSocketAddress address, Options options) {
		Deque<ClientConnection> connections = this.idleConnections.get(address);
		if (connections == null) {
			return null;
		}
		long now = this.monotonicMillis.getAsLong();
		Iterator<ClientConnection> newestFirst = connections.descendingIterator();
		while (newestFirst.hasNext()) {
			ClientConnection connection = newestFirst.next();
			if (!connection.usable(now, options.maxIdleMillis())) {
				newestFirst.remove();
				connection.close();
			}
			else if (!connection.hasCarried(options.requestId())) {
				newestFirst.remove();
				connection.readPendingInput();
				if (!connection.closed()) {
					return connection;
				}
			}
		}
		return null;
	}

	private void addIdle(InetSocketAddress address, ClientConnection connection) {
		if (!connection.closed()) {
			this.idleConnections.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addLast(connection);
		}
	}

	private void removeIdle(ClientConnection connection) {
		this.idleConnections.values().forEach((connections) -> connections.remove(connection));
	}

	/**
	 * Closes the idle connections to a server.
	 * @param address address of the server
	 */
	public void closeIdle(InetSocketAddress address) {
		Deque<ClientConnection> connections = this.idleConnections.remove(address);
		if (connections != null) {
			List<ClientConnection> closing = new ArrayList<>(connections);
			closing.forEach(ClientConnection::close);
		}
	}

	/**
	 * Returns the number of connections that the pool has tried to open.
	 * @return number of connections
	 */
	public long openedConnections() {
		return this.openedConnections;
	}

	/**
	 * Connection options of a request. Immutable.
	 *
	 * @param connectTimeout longest time to establish a new connection
	 * @param maxIdleMillis longest idle time of a reused connection in milliseconds; 0
	 * forces a new connection
	 * @param requestId id by which responses name the request, also if it is empty; a
	 * connection that has carried it is not reused. Null if responses name no request
	 */
	public record Options(Duration connectTimeout, long maxIdleMillis, String requestId) {

	}

	/**
	 * A request in flight. Confined to the thread of the event loop.
	 */
	public final class Call implements ResponseListener {

		private final InetSocketAddress address;

		private final ResponseListener listener;

		private ClientConnection connection;

		private boolean reused;

		private boolean finished;

		private Call(InetSocketAddress address, ResponseListener listener) {
			this.address = address;
			this.listener = listener;
		}

		private void transmit(OutgoingRequest request, Options options) {
			try {
				this.connection.send(request, options.requestId(), this);
			}
			catch (RuntimeException ex) {
				this.connection.close();
				onFailure("the request cannot be sent: " + ex);
			}
		}

		/**
		 * Cancels the request by closing its connection. The listener is not called
		 * again.
		 */
		public void cancel() {
			this.finished = true;
			if (this.connection != null) {
				this.connection.close();
			}
		}

		/**
		 * Returns whether any byte of the request may have been sent.
		 * @return true once a connection was established
		 */
		public boolean sent() {
			return this.connection != null;
		}

		/**
		 * Returns whether an idle connection was reused.
		 * @return true for a reused connection
		 */
		public boolean reused() {
			return this.reused;
		}

		/**
		 * Returns whether a part of the request is not written yet.
		 * @return true while the server has not read it
		 */
		public boolean writeInProgress() {
			return this.connection != null && !this.finished && this.connection.writeInProgress();
		}

		/**
		 * Stops reading the response until {@link #resume()}.
		 */
		public void pause() {
			if (this.connection != null && !this.finished) {
				this.connection.pause();
			}
		}

		/**
		 * Resumes reading after {@link #pause()}.
		 */
		public void resume() {
			if (this.connection != null && !this.finished) {
				this.connection.resume();
			}
		}

		@Override
		public boolean accepts(HttpResponse response) {
			return this.listener.accepts(response);
		}

		@Override
		public boolean allowsReuse(HttpResponse response) {
			return this.listener.allowsReuse(response);
		}

		@Override
		public void onHead(HttpResponse response) {
			if (!this.finished) {
				this.listener.onHead(response);
			}
		}

		@Override
		public void onBody(byte[] bytes) {
			if (!this.finished) {
				this.listener.onBody(bytes);
			}
		}

		@Override
		public void onPartialChunk() {
			if (!this.finished) {
				this.listener.onPartialChunk();
			}
		}

		@Override
		public void onComplete() {
			if (!this.finished) {
				this.finished = true;
				addIdle(this.address, this.connection);
				this.listener.onComplete();
			}
		}

		@Override
		public void onFailure(String reason) {
			if (!this.finished) {
				this.finished = true;
				this.listener.onFailure(reason);
			}
		}

		@Override
		public void onNotSent(String reason) {
			throw new IllegalStateException("onNotSent must not be called: the connection is established");
		}

	}

}
