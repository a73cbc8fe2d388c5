package carawayswitch.transport;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * Identity that this host presents to other hosts, with the shared secret that
 * authenticates it. A host signs the challenge of its peer together with its own id, so
 * that a signature is valid for this host only. Immutable and safe for use by several
 * threads.
 *
 * @param host id of this host
 * @param incarnation incarnation number of this host
 * @param secret shared secret of all hosts
 */
public record PeerIdentity(String host, long incarnation, String secret) {

	/** Version of the internal protocol. */
	static final int PROTOCOL_VERSION = 1;

	private static final int CHALLENGE_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	static byte[] newChallenge() {
		byte[] challenge = new byte[CHALLENGE_BYTES];
		RANDOM.nextBytes(challenge);
		return challenge;
	}

	byte[] sign(byte[] challenge) {
		return signature(challenge, this.host);
	}

	boolean verify(byte[] challenge, String signer, byte[] signature) {
		boolean otherHost = !signer.isEmpty() && !signer.equals(this.host);
		return otherHost && MessageDigest.isEqual(signature(challenge, signer), signature);
	}

	private byte[] signature(byte[] challenge, String signer) {
		HmacUtils mac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, this.secret.getBytes(StandardCharsets.UTF_8));
		byte[] name = signer.getBytes(StandardCharsets.UTF_8);
		byte[] input = new byte[challenge.length + name.length];
		System.arraycopy(challenge, 0, input, 0, challenge.length);
		System.arraycopy(name, 0, input, challenge.length, name.length);
		return mac.hmac(input);
	}

	@Override
	public String toString() {
		return this.host + "#" + this.incarnation;
	}

}
