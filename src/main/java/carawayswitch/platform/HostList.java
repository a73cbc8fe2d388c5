package carawayswitch.platform;

import java.util.List;

import io.activej.promise.Promise;

import carawayswitch.message.Member;

/**
 * The platform's lagging list of live and leaving hosts. Confined to the thread of its
 * event loop.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the hosts; incarnation and counter are zero
	 */
	Promise<List<Member>> read();

}
