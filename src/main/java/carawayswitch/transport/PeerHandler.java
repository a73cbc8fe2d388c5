package carawayswitch.transport;

import java.util.Set;

import carawayswitch.message.Message;

/**
 * Receives what other hosts send. Called on the thread of the transport.
 */
public interface PeerHandler {

	/**
	 * Handles a message.
	 * @param peer id of the sending host
	 * @param incarnation incarnation number of the sending host
	 * @param message the message
	 */
	void onMessage(String peer, long incarnation, Message message);

	/**
	 * Returns the hosts whose answers are awaited. Connections to them are probed.
	 * @return ids of the hosts
	 */
	Set<String> awaitedPeers();

	/**
	 * Handles the loss of the connection to a host. Messages that were sent before may or
	 * may not have arrived.
	 * @param peer id of the host
	 */
	void onPeerLost(String peer);

}
