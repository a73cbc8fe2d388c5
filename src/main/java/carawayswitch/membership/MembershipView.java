package carawayswitch.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.Member;

/**
 * Hosts that were heard of lately, including this one. Immutable and safe for use by
 * several threads.
 *
 * @param self this host
 * @param live live host by id, including leaving ones and this host
 * @param working live hosts that take new work, in the order of their ids
 * @param unreachable ids of hosts that could not be reached lately
 */
public record MembershipView(Member self, Map<String, Member> live, List<Member> working, List<String> unreachable) {

	/**
	 * Creates a view that holds only this host.
	 * @param self this host
	 * @return the view
	 */
	public static MembershipView ofSingleHost(Member self) {
		return new MembershipView(self, Map.of(self.host(), self), List.of(self), List.of());
	}

	/**
	 * Finds the owner of an endpoint by rendezvous hashing over the working hosts of its
	 * availability zone, then of its region, then of all.
	 * @param endpoint id of the endpoint
	 * @param zone availability zone of the endpoint
	 * @param region region of the endpoint
	 * @return the owner, or null if no host takes new work
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
	 * Returns the live hosts in the order of their ids.
	 * @return host by id
	 */
	public Map<String, Member> sortedLive() {
		return new TreeMap<>(this.live);
	}

}
