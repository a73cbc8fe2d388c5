package carawayswitch.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import io.activej.promise.SettablePromise;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Collects the response to one request. Confined to the thread of the event loop.
 */
final class ResponseCollector implements ResponseListener {

	private final SettablePromise<CollectedResponse> result;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpResponse head;

	ResponseCollector(SettablePromise<CollectedResponse> result) {
		this.result = result;
	}

	@Override
	public void onHead(HttpResponse response) {
		this.head = response;
	}

	@Override
	public void onBody(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public void onComplete() {
		this.result
			.trySet(new CollectedResponse(this.head.status().code(), this.head.headers(), this.body.toByteArray()));
	}

	@Override
	public void onFailure(String reason) {
		this.result.trySetException(new IOException(reason));
	}

	@Override
	public void onNotSent(String reason) {
		this.result.trySetException(new IOException(reason));
	}

}
