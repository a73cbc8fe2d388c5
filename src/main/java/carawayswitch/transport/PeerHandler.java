package carawayswitch.transport;

import java.util.Set;

import carawayswitch.message.Message;

/**
 * Receives messages from other hosts and reports of lost connections. Called on the
 * reactor thread of the transport.
 */
public interface PeerHandler {

	/**
	 * Handles a message from a verified host.
	 * @param peer id of the sending host
	 * @param incarnation incarnation number of the sending host
	 * @param message the message
	 */
	void onMessage(String peer, long incarnation, Message message);

	/**
	 * Returns the hosts whose answers are awaited. Connections to them are pinged and are
	 * not closed as idle.
	 * @return ids of the hosts
	 */
	Set<String> awaitedPeers();

	/**
	 * Handles the loss of the connection to a host. It is unknown whether messages that
	 * were sent before have arrived.
	 * @param peer id of the host
	 */
	void onPeerLost(String peer);

}
