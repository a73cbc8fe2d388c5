package carawayswitch.transport;

import carawayswitch.message.Message;

/**
 * Receives the size of each frame that is sent to another host. Called on the reactor
 * thread of the transport.
 */
@FunctionalInterface
public interface TrafficListener {

	/**
	 * Handles a frame.
	 * @param peer id of the receiving host; not verified during the handshake
	 * @param message message of the frame
	 * @param bytes size of the frame in bytes
	 */
	void onSent(String peer, Message message, int bytes);

}
