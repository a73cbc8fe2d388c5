package carawayswitch.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ResponseListener;

/**
 * Passes the response of an endpoint on to the listener of the call, unchanged. Confined
 * to the thread of the endpoint's event loop.
 */
class AnswerForwarder implements ResponseListener {

	private final AnswerListener listener;

	AnswerForwarder(AnswerListener listener) {
		this.listener = listener;
	}

	@Override
	public final void onHead(HttpResponse response) {
		String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
		onHead(response.status().code(), contentType);
		this.listener.onHead(response.status().code(), contentType);
	}

	/**
	 * Called before the head is passed on.
	 * @param status status code
	 * @param contentType content type, or empty
	 */
	void onHead(int status, String contentType) {
	}

	@Override
	public void onBody(byte[] bytes) {
		this.listener.onBody(bytes, 0);
	}

	@Override
	public void onComplete() {
		this.listener.onComplete();
	}

	@Override
	public final void onFailure(String reason) {
		this.listener.onInterrupted(reason);
	}

	@Override
	public final void onNotSent(String reason) {
		this.listener.onNeverSent(reason);
	}

}
