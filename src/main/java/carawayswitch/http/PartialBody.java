package carawayswitch.http;

/**
 * Body of a request that is being received. Immutable.
 *
 * @param head the request without its body
 * @param urgency its urgency
 * @param reservedBytes bytes that are reserved for the body
 */
public record PartialBody(ReceivedRequest head, int urgency, long reservedBytes) {

}
