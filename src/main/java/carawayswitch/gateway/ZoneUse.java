package carawayswitch.gateway;

import java.util.Locale;

import carawayswitch.message.CapHistory;
import carawayswitch.message.CapUse;
import carawayswitch.message.CapUseReply;
import carawayswitch.message.CrashEvidence;
import carawayswitch.message.EndpointLimit;
import carawayswitch.message.Message;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.message.PlaceStalled;
import carawayswitch.message.PlacesHeld;
import carawayswitch.message.RelayAsk;
import carawayswitch.message.RelayReply;
import carawayswitch.message.StreamsBegun;
import carawayswitch.message.StreamsRecorded;

/**
 * What bytes that leave the zone are used for. Immutable.
 */
enum ZoneUse {

	/** Requests to endpoints. */
	REQUESTS,

	/** Answers of endpoints. */
	ANSWERS,

	/** Messages to and from the owner of the pools on places, limits and caps. */
	PLACES(PlaceRequest.class, PlaceReply.class, PlaceBegun.class, PlaceEnded.class, PlaceStalled.class,
			PlacesHeld.class, EndpointLimit.class, CapUse.class, CapUseReply.class, CapHistory.class),

	/** Records of the store that hosts read from each other. */
	RELAYS(RelayAsk.class, RelayReply.class),

	/** Origins of streams and evidence on crashes, which are to be recorded. */
	RECORDS(StreamsBegun.class, StreamsRecorded.class, CrashEvidence.class),

	/** Heartbeats and all else. */
	OTHER;

	private final Class<?>[] messages;

	ZoneUse(Class<?>... messages) {
		this.messages = messages;
	}

	static ZoneUse of(Message message) {
		for (ZoneUse use : values()) {
			for (Class<?> type : use.messages) {
				if (type.isInstance(message)) {
					return use;
				}
			}
		}
		return OTHER;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
