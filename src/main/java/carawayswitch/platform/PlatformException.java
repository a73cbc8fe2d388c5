package carawayswitch.platform;

/**
 * Failure of a call to a service of the platform. Immutable.
 */
public final class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message description of the failure
	 */
	public PlatformException(String message) {
		super(message);
	}

}
