package carawayswitch.backpressure;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Request whose body this host holds, since it is being received or no endpoint has read
 * it to its end. Immutable.
 *
 * @param <R> type of the requests
 * @param request the request
 * @param urgency its urgency
 * @param bytes length of its body in bytes
 * @param sent false if no part of it is sent, so that it has not run
 * @param sentAt time in milliseconds at which it was sent
 */
public record HeldUpload<R>(R request, int urgency, long bytes, boolean sent, long sentAt) {

	/**
	 * Time in milliseconds after which an upload counts as slow. Bodies of common size
	 * (72,000 bytes) take 80 ms on the slowest links, of 7 Mbit/s.
	 */
	static final long SLOW_MILLIS = 1000;

	/**
	 * Longest time in milliseconds for which a body waits for room, while its connection
	 * is not read. An upload that is sent counts as slow after half of it.
	 */
	private static final long MAX_ROOM_WAIT_MILLIS = 2 * SLOW_MILLIS;

	/**
	 * Chooses the request that is ended for the body of a more urgent one: the least
	 * urgent, of these rather one that has not been sent than a slow upload, and then the
	 * one with the largest body.
	 * @param <R> type of the requests
	 * @param uploads requests whose bodies are held or being received
	 * @param urgency urgency of the request that needs memory
	 * @param now time in milliseconds
	 * @return the request to end, or empty if there is none that is less urgent
	 */
	public static <R> Optional<HeldUpload<R>> endedFor(Collection<HeldUpload<R>> uploads, int urgency, long now) {
		return uploads.stream()
			.filter((upload) -> upload.urgency() < urgency && upload.bytes() > 0)
			.filter((upload) -> !upload.sent() || now - upload.sentAt() >= SLOW_MILLIS)
			.min(Comparator.<HeldUpload<R>>comparingInt(HeldUpload::urgency)
				.thenComparing(HeldUpload::sent)
				.thenComparing(Comparator.<HeldUpload<R>>comparingLong(HeldUpload::bytes).reversed()));
	}

	/**
	 * Returns whether a less urgent request holds a body. If none can be ended now, its
	 * upload counts as slow soon unless its endpoint reads it.
	 * @param <R> type of the requests
	 * @param uploads requests whose bodies are held or being received
	 * @param urgency urgency of the request that needs memory
	 * @return true if it is worth waiting
	 */
	public static <R> boolean roomExpected(Collection<HeldUpload<R>> uploads, int urgency) {
		return uploads.stream().anyMatch((upload) -> upload.urgency() < urgency && upload.bytes() > 0);
	}

	/**
	 * Returns how long a body may wait for room: no longer than half of the time that its
	 * client waits, so that the client can try another host in the other half.
	 * @param clientWaitMillis time in milliseconds for which the client waits, or a
	 * negative number if it is unknown
	 * @return time in milliseconds
	 */
	public static long roomWaitMillis(long clientWaitMillis) {
		return (clientWaitMillis < 0) ? MAX_ROOM_WAIT_MILLIS : Math.min(MAX_ROOM_WAIT_MILLIS, clientWaitMillis / 2);
	}

}
