package carawayswitch.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * HTTP/1.1 codec of one connection, which converts between socket bytes and messages.
 * Wraps a Netty codec that does no I/O. A message that states both a length and chunked
 * transfer encoding is malformed, and so is a response whose head holds another status
 * line or cannot be the beginning of one. Not safe for use by several threads.
 */
final class HttpMessageCodec {

	/** Beginning of a status line, up to its second space. */
	static final Pattern STATUS_LINE_BEGINNING = Pattern.compile("HTTP/\\d\\.\\d \\d{3} ");

	static final int STATUS_LINE_BEGINNING_LENGTH = "HTTP/1.1 200 ".length();

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}( |$)");

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private final EmbeddedChannel channel;

	private ChannelHandler decoder;

	private int maxHeaderBytes;

	private HttpMessageCodec(ChannelHandler decoder, ChannelHandler encoder, int maxHeaderBytes) {
		this.maxHeaderBytes = maxHeaderBytes;
		this.decoder = decoder;
		this.channel = new EmbeddedChannel(decoder, encoder);
	}

	/**
	 * Returns whether a line holds neither a line end nor another status line, which
	 * would mean that two heads were merged.
	 * @param line a line or a part of one, without its end
	 * @return false if it comes from several heads
	 */
	static boolean isFromSingleHead(String line) {
		return line.indexOf('\r') < 0 && line.indexOf('\0') < 0 && !STATUS_LINE.matcher(line).find();
	}

	static HttpMessageCodec server(int maxHeaderBytes) {
		return new HttpMessageCodec(new StrictRequestDecoder(decoderConfig(maxHeaderBytes)), new HttpResponseEncoder(),
				maxHeaderBytes);
	}

	static HttpMessageCodec client(int maxHeaderBytes) {
		return new HttpMessageCodec(new StrictResponseDecoder(decoderConfig(maxHeaderBytes)), new HttpRequestEncoder(),
				maxHeaderBytes);
	}

	private static HttpDecoderConfig decoderConfig(int maxHeaderBytes) {
		return new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES);
	}

	/**
	 * Limits the headers of the next request, unless a part of it has been decoded. Only
	 * for the codec of a server.
	 * @param maxBytes maximum size of the request line and of all headers, in bytes
	 */
	void limitRequestHeaders(int maxBytes) {
		if (maxBytes != this.maxHeaderBytes && ((StrictRequestDecoder) this.decoder).betweenRequests) {
			ChannelHandler replacement = new StrictRequestDecoder(decoderConfig(maxBytes));
			this.channel.pipeline().replace(this.decoder, null, replacement);
			this.decoder = replacement;
			this.maxHeaderBytes = maxBytes;
		}
	}

	/**
	 * Decodes received bytes. In responses, the data of each chunk whose end was received
	 * ends with an {@link EndOfChunk}.
	 * @param bytes the received bytes
	 * @return the parts of messages; the caller releases them
	 */
	List<HttpObject> decode(byte[] bytes) {
		this.channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		return readDecodedParts();
	}

	/**
	 * Returns the number of received bytes behind the last response that ended, including
	 * those that cannot be decoded yet. Only for the codec of a client.
	 * @return number of bytes at the time when the response ended
	 */
	int bytesBehindResponse() {
		return ((StrictResponseDecoder) this.decoder).bytesBehindResponse;
	}

	/**
	 * Sets whether the next responses answer a HEAD request, so that they have no body
	 * whatever their heads state. Only for the codec of a client.
	 * @param head true for a HEAD request
	 */
	void answersHead(boolean head) {
		((StrictResponseDecoder) this.decoder).answersHead = head;
	}

	/**
	 * Returns the first bytes behind the last response that ended, up to the length of
	 * the beginning of a status line, less one. Only for the codec of a client.
	 * @return the bytes as characters
	 */
	String textBehindResponse() {
		return ((StrictResponseDecoder) this.decoder).textBehindResponse;
	}

	/**
	 * Decodes the orderly end of the input, which completes a message that states no
	 * length.
	 * @return the remaining parts of messages; the caller releases them
	 */
	List<HttpObject> decodeEndOfInput() {
		this.channel.finish();
		return readDecodedParts();
	}

	private List<HttpObject> readDecodedParts() {
		List<HttpObject> parts = new ArrayList<>();
		for (Object part = this.channel.readInbound(); part != null; part = this.channel.readInbound()) {
			parts.add((HttpObject) part);
		}
		return parts;
	}

	/**
	 * Encodes a part of a message.
	 * @param part the part
	 * @return the encoded bytes
	 */
	byte[] encode(HttpObject part) {
		this.channel.writeOutbound(part);
		ByteBuf encoded = Unpooled.buffer();
		for (Object buffer = this.channel.readOutbound(); buffer != null; buffer = this.channel.readOutbound()) {
			encoded.writeBytes((ByteBuf) buffer);
			ReferenceCountUtil.release(buffer);
		}
		byte[] bytes = new byte[encoded.readableBytes()];
		encoded.readBytes(bytes);
		return bytes;
	}

	void release() {
		this.channel.finishAndReleaseAll();
	}

	/**
	 * Request decoder that rejects requests with ambiguous framing, and tells whether it
	 * holds a part of a request.
	 */
	private static final class StrictRequestDecoder extends HttpRequestDecoder {

		private boolean betweenRequests = true;

		StrictRequestDecoder(HttpDecoderConfig config) {
			super(config);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
		}

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> parts) throws Exception {
			int partsBefore = parts.size();
			super.decode(context, buffer, parts);
			this.betweenRequests = parts.size() > partsBefore && parts.get(parts.size() - 1) instanceof LastHttpContent
					&& !buffer.isReadable();
		}

	}

	/**
	 * Response decoder that rejects a head which may be made of several heads or has
	 * ambiguous framing, and counts the bytes behind each response. What Netty has left
	 * to read does not tell them: it also consumes the lines of a head that is not
	 * complete.
	 */
	private static final class StrictResponseDecoder extends HttpResponseDecoder {

		private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

		private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

		private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

		private int bytesBehindResponse;

		private boolean answersHead;

		/** Whether a part of the head in progress was consumed. */
		private boolean headBegun;

		private String textBehindResponse = "";

		/** Framing of the body in progress, or null if it is not chunked. */
		private ChunkFraming chunkFraming;

		StrictResponseDecoder(HttpDecoderConfig config) {
			super(config);
		}

		@Override
		protected HttpMessage createMessage(String[] statusLine) {
			require(VERSION.matcher(statusLine[0]).matches(), "version");
			require(STATUS.matcher(statusLine[1]).matches(), "status");
			require(isFromSingleHead(statusLine[2]), "reason phrase");
			return super.createMessage(statusLine);
		}

		private static void require(boolean valid, String element) {
			if (!valid) {
				throw new IllegalArgumentException("invalid " + element);
			}
		}

		// Bytes behind a status of 101 would otherwise be passed on undecoded.
		@Override
		protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
			return false;
		}

		private static void checkHead(HttpResponse response) {
			checkValues(response.headers());
			List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
			require(encodings.isEmpty()
					|| encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)),
					"transfer encoding");
			require(!response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS),
					"status: no upgrade was asked for");
		}

		private static void checkValues(HttpHeaders headers) {
			headers.forEach(
					(header) -> require(isFromSingleHead(header.getValue()), "value of header " + header.getKey()));
		}

		private static void check(HttpObject part) {
			if (part.decoderResult().isFailure()) {
				return;
			}
			try {
				if (part instanceof HttpResponse response) {
					checkHead(response);
				}
				if (part instanceof LastHttpContent last) {
					checkValues(last.trailingHeaders());
				}
			}
			catch (IllegalArgumentException ex) {
				part.setDecoderResult(DecoderResult.failure(ex));
			}
		}

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> parts) throws Exception {
			if (!this.headBegun && !mayBeginHead(buffer)) {
				buffer.skipBytes(buffer.readableBytes());
				parts.add(malformed(new IllegalArgumentException("the bytes begin no head")));
				return;
			}
			if (this.chunkFraming != null && !this.chunkFraming.mayContinueWith(buffer)) {
				buffer.skipBytes(buffer.readableBytes());
				parts.add(malformed(new IllegalArgumentException("the bytes begin no chunk")));
				return;
			}
			int partsBefore = parts.size();
			int indexBefore = buffer.readerIndex();
			super.decode(context, buffer, parts);
			this.headBegun |= buffer.readerIndex() > indexBefore;
			if (this.chunkFraming != null) {
				followChunks(buffer, indexBefore, parts, partsBefore);
			}
			if (parts.size() > partsBefore) {
				parts.subList(partsBefore, parts.size()).forEach((part) -> check((HttpObject) part));
				// What Netty makes of an invalid head counts as the end of a message,
				// too.
				boolean ended = parts.get(parts.size() - 1) instanceof LastHttpContent last
						&& last.decoderResult().isSuccess();
				this.bytesBehindResponse = ended ? buffer.readableBytes() : 0;
				this.headBegun = !ended;
				if (ended) {
					this.chunkFraming = null;
					this.textBehindResponse = buffer.toString(buffer.readerIndex(),
							Math.min(this.bytesBehindResponse, STATUS_LINE_BEGINNING_LENGTH - 1),
							StandardCharsets.ISO_8859_1);
				}
				else if (parts.get(parts.size() - 1) instanceof HttpResponse response
						&& HttpUtil.isTransferEncodingChunked(response)) {
					this.chunkFraming = new ChunkFraming();
				}
			}
		}

		private void followChunks(ByteBuf buffer, int indexBefore, List<Object> parts, int partsBefore) {
			if (parts.size() > partsBefore && ((HttpObject) parts.get(parts.size() - 1)).decoderResult().isFailure()) {
				return;
			}
			try {
				if (this.chunkFraming.consume(buffer, indexBefore, buffer.readerIndex())) {
					ByteBuf data = (parts.size() > partsBefore)
							? ((HttpContent) parts.remove(parts.size() - 1)).content() : Unpooled.EMPTY_BUFFER;
					parts.add(new EndOfChunk(data));
				}
			}
			catch (IllegalArgumentException ex) {
				List<Object> newParts = parts.subList(partsBefore, parts.size());
				newParts.forEach(ReferenceCountUtil::release);
				newParts.clear();
				buffer.skipBytes(buffer.readableBytes());
				parts.add(malformed(ex));
			}
		}

		// The decoder would wait for the end of the line.
		private static boolean mayBeginHead(ByteBuf buffer) {
			int start = buffer.readerIndex();
			while (start < buffer.writerIndex() && (buffer.getByte(start) == '\r' || buffer.getByte(start) == '\n')) {
				start++;
			}
			int length = Math.min(PROTOCOL.length, buffer.writerIndex() - start);
			return ByteBufUtil.equals(buffer, start, Unpooled.wrappedBuffer(PROTOCOL), 0, length);
		}

		private static HttpResponse malformed(Exception cause) {
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
			response.setDecoderResult(DecoderResult.failure(cause));
			return response;
		}

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return this.answersHead || super.isContentAlwaysEmpty(message);
		}

	}

}
