package carawayswitch.route;

import java.util.Arrays;
import java.util.Base64;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * Key of a stream: a hash of its organisation, its route and the id that the client has
 * given it, so that a client can take up streams of its own organisation and route only.
 * Stateless.
 */
public final class StreamKey {

	private static final int KEY_BYTES = 16;

	private StreamKey() {
	}

	/**
	 * Computes the key of a stream.
	 * @param organisation name of the organisation, or empty
	 * @param route name of the route
	 * @param stream id of the client's attempt that brought the first event
	 * @return the key
	 */
	public static String of(String organisation, String route, String stream) {
		byte[] hash = DigestUtils.sha256(String.join("\n", organisation, route, stream));
		return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(hash, KEY_BYTES));
	}

}
