package carawayswitch.entry;

import java.util.function.Consumer;

import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GrantSettled;

/**
 * Client of the owners of idempotency keys, on this host or others. A grant permits one
 * request to run the work of its key. Safe for use by several threads.
 */
public interface GrantClient {

	/**
	 * Requests a grant; repeats the request until there is a final verdict or the
	 * deadline has passed.
	 * @param region home region of the organisation
	 * @param request the grant request
	 * @param deadlineMillis deadline on the monotonic clock in milliseconds
	 * @param onReply receives the last verdict; called on any thread
	 */
	void requestGrant(String region, GrantRequest request, long deadlineMillis, Consumer<GrantReply> onReply);

	/**
	 * Reports the outcome of a granted request to the owner of its key. Best effort: the
	 * report may be lost.
	 * @param region home region of the organisation
	 * @param settlement outcome of the request
	 */
	void settle(String region, GrantSettled settlement);

	/**
	 * Requests a copy of the answer to a repeated key from the host whose request holds
	 * the grant.
	 * @param holder id of that host
	 * @param incarnation incarnation number of that host
	 * @param holderRequestId id of the request that holds the grant
	 * @param receiver receives the copy
	 */
	void attach(String holder, long incarnation, String holderRequestId, AttachmentReceiver receiver);

}
