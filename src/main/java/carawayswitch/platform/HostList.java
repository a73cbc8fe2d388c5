package carawayswitch.platform;

import java.util.List;

import io.activej.promise.Promise;

import carawayswitch.message.Member;

/**
 * Source of the platform's list of live and leaving hosts. The list lags behind the
 * actual state. Confined to the thread of its event loop.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the hosts, whose incarnation and counter are 0; fails if the list could not
	 * be read
	 */
	Promise<List<Member>> read();

}
