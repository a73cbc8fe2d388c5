package carawayswitch.gateway;

/**
 * Where a gateway host listens for others. Immutable.
 *
 * @param host id of the host
 * @param address internal address, as IP:PORT
 * @param zone availability zone
 * @param incarnation incarnation number
 */
public record HostRecord(String host, String address, String zone, long incarnation) {

}
