package carawayswitch.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.activej.eventloop.Eventloop;

/**
 * Thread of an event loop, which tells how its loop has ended. Invariant: the failure is
 * known once the thread has ended. Thread-safe.
 */
final class LoopThread extends Thread {

	private final Eventloop loop;

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private volatile Throwable failure;

	LoopThread(Eventloop loop, String name) {
		super(name);
		this.loop = loop;
	}

	@Override
	public void run() {
		try {
			this.loop.run();
			this.ended.complete(null);
		}
		catch (Throwable ex) {
			this.failure = ex;
			this.ended.completeExceptionally(ex);
		}
	}

	/**
	 * Returns the end of the loop.
	 * @return completes when the loop has ended, exceptionally if by a failure
	 */
	CompletableFuture<Void> ended() {
		return this.ended;
	}

	/**
	 * Waits until the thread has ended.
	 * @return the failure by which the loop has ended, or empty if it was stopped
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	Optional<Throwable> awaitEnd() throws InterruptedException {
		join();
		return Optional.ofNullable(this.failure);
	}

}
