package carawayswitch.gateway;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ResponseListener;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.time.CheckAfterInput;

/**
 * Runs the tasks of one exchange: its timers, and the callbacks of endpoints, of the
 * owner of the pools and of the store. Invariant: no exception leaves a task; the
 * exchange is told of it and ends. Confined to the event loop thread.
 *
 * <pre>
 * tasks.delay(100, this::onDeadline);
 * connections.send(address, request, options, tasks.guarded(listener));
 * </pre>
 */
final class ExchangeTasks {

	private final NioReactor reactor;

	private final Consumer<RuntimeException> onFailure;

	ExchangeTasks(NioReactor reactor, Consumer<RuntimeException> onFailure) {
		this.reactor = reactor;
		this.onFailure = onFailure;
	}

	void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.onFailure.accept(ex);
		}
	}

	ScheduledRunnable delay(long millis, Runnable task) {
		return this.reactor.delay(millis, () -> run(task));
	}

	ScheduledRunnable delayBackground(long millis, Runnable task) {
		return this.reactor.delayBackground(millis, () -> run(task));
	}

	/**
	 * Runs a task one turn of the event loop later, after the input that has already
	 * arrived.
	 * @param task the task
	 */
	void postNext(Runnable task) {
		this.reactor.postNext(() -> run(task));
	}

	CheckAfterInput checkAfterInput(LongConsumer check) {
		return CheckAfterInput.on(this.reactor, (dueAt) -> run(() -> check.accept(dueAt)));
	}

	ResponseListener guarded(ResponseListener listener) {
		return new GuardedResponseListener(this, listener);
	}

	Placement.Listener guarded(Placement.Listener listener) {
		return new GuardedPlacementListener(this, listener);
	}

	private record GuardedPlacementListener(ExchangeTasks tasks,
			Placement.Listener listener) implements Placement.Listener {

		@Override
		public void onGranted(String endpoint) {
			this.tasks.run(() -> this.listener.onGranted(endpoint));
		}

		@Override
		public void onRejected(ErrorKind kind, long retryAfterMillis, String reason) {
			this.tasks.run(() -> this.listener.onRejected(kind, retryAfterMillis, reason));
		}

	}

	private record GuardedResponseListener(ExchangeTasks tasks, ResponseListener listener) implements ResponseListener {

		@Override
		public void onConnected() {
			this.tasks.run(this.listener::onConnected);
		}

		@Override
		public boolean accepts(HttpResponse response) {
			boolean[] accepted = new boolean[1];
			this.tasks.run(() -> accepted[0] = this.listener.accepts(response));
			return accepted[0];
		}

		@Override
		public void onHead(HttpResponse response) {
			this.tasks.run(() -> this.listener.onHead(response));
		}

		@Override
		public void onBody(byte[] bytes) {
			this.tasks.run(() -> this.listener.onBody(bytes));
		}

		@Override
		public void onPartialChunk() {
			this.tasks.run(this.listener::onPartialChunk);
		}

		@Override
		public void onComplete() {
			this.tasks.run(this.listener::onComplete);
		}

		@Override
		public void onFailure(String reason) {
			this.tasks.run(() -> this.listener.onFailure(reason));
		}

		@Override
		public void onNotSent(String reason) {
			this.tasks.run(() -> this.listener.onNotSent(reason));
		}

	}

}
