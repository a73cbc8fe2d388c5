package carawayswitch.gateway;

import carawayswitch.message.GatewayMember;

/**
 * Directory entry of a gateway host: the address at which other hosts reach it, its zone,
 * its incarnation and its capacity. Immutable.
 *
 * @param host id of the host
 * @param address internal address, as IP:PORT
 * @param zone availability zone
 * @param incarnation incarnation number, which changes with every start of the host
 * @param capacity processor time of the host in thousandths of a core
 */
public record HostRecord(String host, String address, String zone, long incarnation, int capacity) {

	static HostRecord of(GatewayMember member) {
		return new HostRecord(member.host(), member.address(), member.zone(), member.incarnation(), member.capacity());
	}

	GatewayMember toMember() {
		return new GatewayMember(this.host, this.incarnation, this.address, this.zone, this.capacity);
	}

}
