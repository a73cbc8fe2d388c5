package carawayswitch.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * Data of a chunk whose end was received, from the last part that was not known before;
 * it may be empty. Not thread-safe.
 */
final class EndOfChunk extends DefaultHttpContent {

	EndOfChunk(ByteBuf content) {
		super(content);
	}

}
