package carawayswitch.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.Member;

/**
 * Snapshot of the live hosts, including this one. Immutable and thread-safe.
 *
 * @param self this host
 * @param live live hosts by id, including leaving hosts and this host
 * @param working live hosts that accept new work, sorted by id
 * @param unreachable ids of hosts to which a connection recently failed
 */
public record MembershipView(Member self, Map<String, Member> live, List<Member> working, List<String> unreachable) {

	/**
	 * Creates a view that contains only this host.
	 * @param self this host
	 * @return the view
	 */
	public static MembershipView ofSingleHost(Member self) {
		return new MembershipView(self, Map.of(self.host(), self), List.of(self), List.of());
	}

	/**
	 * Finds the owner of an endpoint by rendezvous hashing over the working hosts. Hosts
	 * of the endpoint's availability zone are preferred, then hosts of its region, then
	 * all others; unreachable hosts come last.
	 * @param endpoint id of the endpoint
	 * @param zone availability zone of the endpoint
	 * @param region region of the endpoint
	 * @return the owner, or null if no host accepts new work
	 */
	public Member ownerOf(String endpoint, String zone, String region) {
		Member best = null;
		long bestScore = 0;
		int bestDistance = Integer.MAX_VALUE;
		for (Member member : this.working) {
			int distance = distance(member, zone, region);
			long score = score(endpoint, member.host());
			if (best == null || distance < bestDistance || distance == bestDistance && score > bestScore) {
				best = member;
				bestScore = score;
				bestDistance = distance;
			}
		}
		return best;
	}

	private int distance(Member member, String zone, String region) {
		int penalty = this.unreachable.contains(member.host()) ? 4 : 0;
		if (member.zone().equals(zone)) {
			return penalty;
		}
		return penalty + (member.region().equals(region) ? 1 : 2);
	}

	private static long score(String endpoint, String host) {
		byte[] bytes = (endpoint + ":" + host).getBytes(java.nio.charset.StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes)[0];
	}

	/**
	 * Returns the live hosts, sorted by id.
	 * @return hosts by id
	 */
	public Map<String, Member> sortedLive() {
		return new TreeMap<>(this.live);
	}

}
