package carawayswitch.dispatch;

import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;

/**
 * Receives the answer to one attempt as a stream. {@link #end} is called exactly once,
 * and nothing is called after it.
 */
public interface ReplySink {

	/**
	 * Receives the start of the answer.
	 * @param head status and content type
	 */
	void head(ReplyHead head);

	/**
	 * Receives a chunk of the answer's body.
	 * @param chunk the chunk
	 */
	void chunk(ReplyChunk chunk);

	/**
	 * Receives the end of the attempt.
	 * @param end outcome of the attempt
	 */
	void end(ReplyEnd end);

}
