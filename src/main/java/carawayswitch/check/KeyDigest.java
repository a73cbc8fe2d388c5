package carawayswitch.check;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digests by which reports name API keys. Stateless.
 */
final class KeyDigest {

	/** 48 bits tell a million keys apart, and are too few to serve as a key. */
	private static final int BYTES = 6;

	private KeyDigest() {
	}

	/**
	 * Returns the digest of a key.
	 * @param key the key
	 * @return the first 12 hexadecimal digits of its SHA-256, with a prefix that names
	 * the function
	 */
	static String of(String key) {
		try {
			byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return "sha256:" + HexFormat.of().formatHex(hash, 0, BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
