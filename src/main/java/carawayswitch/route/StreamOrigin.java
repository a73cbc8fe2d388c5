package carawayswitch.route;

/**
 * What has begun a stream. The rest of the stream may come only from the same origin.
 * Immutable.
 *
 * @param service name of the service
 * @param version version of the software; versions have no order
 */
public record StreamOrigin(String service, String version) {

}
