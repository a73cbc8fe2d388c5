package carawayswitch.backpressure;

/**
 * Whether engines have memory for the body of a request. The choice of an engine can ask
 * this for each candidate. Called on the thread of the scheduler only.
 */
@FunctionalInterface
public interface EngineRoom {

	/**
	 * Returns whether an engine has room for a request.
	 * @param requestId id of the place request
	 * @param engine id of the engine
	 * @return false if the engine must not get the request now
	 */
	boolean hasRoom(String requestId, String engine);

}
