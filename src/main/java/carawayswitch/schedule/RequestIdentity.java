package carawayswitch.schedule;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identity of a request, the same for all its repeats at any host: a hash of its method,
 * target, organisation and body. Evidence against a request treats it as one more segment
 * of its prompt, which no other request shares. Stateless.
 */
public final class RequestIdentity {

	/** Ids of prompt segments have no colon. */
	private static final String PREFIX = "request:";

	private RequestIdentity() {
	}

	/**
	 * Computes the identity of a request.
	 * @param method method of the request
	 * @param target path and query
	 * @param organisation organisation of the caller, or empty
	 * @param body complete body
	 * @return the identity
	 */
	public static String of(String method, String target, String organisation, byte[] body) {
		long[] bodyHash = MurmurHash3.hash128x64(body);
		String text = String.join("\n", method, target, organisation, Long.toHexString(bodyHash[0]),
				Long.toHexString(bodyHash[1]));
		long[] hash = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8));
		return PREFIX + String.format("%016x%016x", hash[0], hash[1]);
	}

}
