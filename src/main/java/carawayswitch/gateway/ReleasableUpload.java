package carawayswitch.gateway;

import java.util.function.Supplier;

/**
 * Request whose body can be released, which ends the request. Confined to the event loop
 * thread.
 *
 * @param attemptId supplies the attempt id, for the log
 * @param release ends the request and releases its body
 */
record ReleasableUpload(Supplier<String> attemptId, Runnable release) {

}
