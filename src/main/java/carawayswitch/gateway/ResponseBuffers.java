package carawayswitch.gateway;

import java.util.function.Function;

import carawayswitch.backpressure.ResponseBufferBudget;
import carawayswitch.http.ServerConnection;
import carawayswitch.log.LogEvent;

/**
 * Keeps the response bytes that this host buffers for slow clients within their budget,
 * by ending responses. Counts complete responses as well, since their clients may leave
 * them unread. Does nothing unless the settings bound memory. Confined to the event loop
 * thread.
 */
final class ResponseBuffers {

	private final GatewayContext context;

	private final Function<ServerConnection, Exchange> exchanges;

	private final ResponseBufferBudget<ServerConnection> budget;

	/**
	 * Creates buffers of which nothing is used.
	 * @param context state of the host
	 * @param exchanges returns the exchange in progress on a connection, or null
	 */
	ResponseBuffers(GatewayContext context, Function<ServerConnection, Exchange> exchanges) {
		this.context = context;
		this.exchanges = exchanges;
		this.budget = context.responseBuffers;
	}

	/**
	 * Records what a connection holds, and ends responses while the budget is exceeded.
	 * @param connection the connection
	 * @param bytes number of unwritten bytes
	 */
	void onBuffered(ServerConnection connection, long bytes) {
		if (!this.context.pressure.inForce()) {
			return;
		}
		Exchange exchange = this.exchanges.apply(connection);
		if (exchange != null) {
			this.budget.update(connection,
					new ResponseBufferBudget.Buffered(exchange.urgency(), exchange.deadlineAt(), bytes));
		}
		else {
			this.budget.update(connection, bytes);
		}
		long now = Clocks.monotonicMillis();
		for (ServerConnection next = this.budget.removeExcess(now); next != null; next = this.budget
			.removeExcess(now)) {
			if (next == connection) {
				// The connection is in the middle of a write.
				this.context.reactor.post(() -> endIfUnread(connection));
			}
			else {
				end(next);
			}
		}
	}

	private void endIfUnread(ServerConnection connection) {
		if (connection.unwrittenBytes() > 0) {
			end(connection);
		}
	}

	private void end(ServerConnection connection) {
		Exchange exchange = this.exchanges.apply(connection);
		this.context.boundReporter.report("response_buffers", LogEvent.RESPONSE_ENDED_UNREAD, "request",
				(exchange != null) ? exchange.attemptId() : "", "complete", exchange == null, "unwritten_bytes",
				connection.unwrittenBytes(), "buffered_bytes", this.budget.bufferedBytes(), "limit_bytes",
				this.budget.limitBytes());
		if (exchange != null) {
			exchange.endUnread();
		}
		else {
			connection.close();
		}
	}

	void onClosed(ServerConnection connection) {
		this.budget.update(connection, 0);
	}

}
