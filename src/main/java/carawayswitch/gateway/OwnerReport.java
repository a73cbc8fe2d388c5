package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.message.CapHistory;
import carawayswitch.message.EndpointLimit;
import carawayswitch.message.HeldPlace;
import carawayswitch.message.Message;
import carawayswitch.message.PlacesHeld;

/**
 * What a host reports to a new owner of the pools. Stateless.
 */
final class OwnerReport {

	private OwnerReport() {
	}

	/**
	 * Creates the messages to the owner.
	 * @param placements placements of this host; those that are pending are not reported
	 * @param namedLimits limits that engines have named to this host
	 * @param capHistory recent use of the caps by this host
	 * @param now monotonic time in milliseconds
	 * @return the messages in the order in which they are sent
	 */
	static List<Message> messages(Collection<Placement> placements, Collection<EndpointLimit> namedLimits,
			CapHistory capHistory, long now) {
		List<Message> messages = new ArrayList<>();
		messages.add(capHistory);
		namedLimits.forEach((limit) -> messages
			.add(new EndpointLimit("", limit.service(), limit.endpoint(), limit.requestsPerSecond())));
		Map<String, List<HeldPlace>> heldByService = new HashMap<>();
		placements.stream()
			.filter((placement) -> !placement.pending())
			.forEach((placement) -> heldByService.computeIfAbsent(placement.service(), (service) -> new ArrayList<>())
				.add(new HeldPlace(placement.endpoint(), placement.request(now))));
		heldByService.forEach((service, places) -> messages.add(new PlacesHeld(service, places)));
		return messages;
	}

}
