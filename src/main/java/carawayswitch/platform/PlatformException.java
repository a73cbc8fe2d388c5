package carawayswitch.platform;

/**
 * A service of the platform failed. Immutable.
 */
public final class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 */
	public PlatformException(String message) {
		super(message);
	}

}
