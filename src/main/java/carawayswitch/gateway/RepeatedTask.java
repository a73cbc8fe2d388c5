package carawayswitch.gateway;

import io.activej.reactor.nio.NioReactor;

/**
 * Runs a task again and again for the lifetime of the host. A task that throws is
 * reported by the event loop and runs again. Stateless.
 */
final class RepeatedTask {

	private RepeatedTask() {
	}

	/**
	 * Runs a task at once and after each pause.
	 * @param reactor event loop that runs the task
	 * @param pauseMillis pause between two runs in milliseconds
	 * @param task the task
	 */
	static void start(NioReactor reactor, long pauseMillis, Runnable task) {
		try {
			task.run();
		}
		finally {
			reactor.delayBackground(pauseMillis, () -> start(reactor, pauseMillis, task));
		}
	}

}
