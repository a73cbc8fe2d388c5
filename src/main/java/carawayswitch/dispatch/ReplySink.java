package carawayswitch.dispatch;

import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;

/**
 * Receives the answer of one attempt. {@link #end} is called once and last.
 */
public interface ReplySink {

	/**
	 * The answer begins.
	 * @param head the status
	 */
	void head(ReplyHead head);

	/**
	 * A piece of the answer.
	 * @param chunk the piece
	 */
	void chunk(ReplyChunk chunk);

	/**
	 * The attempt has ended.
	 * @param end how it ended
	 */
	void end(ReplyEnd end);

}
