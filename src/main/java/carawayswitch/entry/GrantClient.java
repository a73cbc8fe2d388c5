package carawayswitch.entry;

import java.util.function.Consumer;

import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GrantSettled;

/**
 * Asks the owners of keys for grants, on this host or others. Safe for use by several
 * threads.
 */
public interface GrantClient {

	/**
	 * Asks for a grant until there is a final verdict or the time is up.
	 * @param region home region of the organisation
	 * @param request the request for a grant
	 * @param deadlineMillis time of the deadline in milliseconds
	 * @param onReply receives the last verdict, on any thread
	 */
	void requestGrant(String region, GrantRequest request, long deadlineMillis, Consumer<GrantReply> onReply);

	/**
	 * Tells the owner of a key how its request ended. May be lost.
	 * @param region home region of the organisation
	 * @param settlement how the request ended
	 */
	void settle(String region, GrantSettled settlement);

	/**
	 * Asks another host for a copy of the answer that it holds for a key.
	 * @param holder id of the host
	 * @param incarnation incarnation number of the host
	 * @param holderRequestId id of the request that holds the grant
	 * @param receiver receives the answer
	 */
	void attach(String holder, long incarnation, String holderRequestId, AttachmentReceiver receiver);

}
