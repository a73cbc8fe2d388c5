package carawayswitch.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.message.CrashEvidence;
import carawayswitch.message.Message;
import carawayswitch.route.EndpointEntry;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.CrashAttribution;
import carawayswitch.schedule.PromptQuarantine;

/**
 * Finds requests that crash the endpoints of plain services. Hosts send such requests
 * without asking an owner, so that none sees all attempts: each host records its own and
 * reports losses, and answers that clear a suspect, to the owner of the pools. The owner
 * judges them and passes evidence and rules on to all hosts, each of which can therefore
 * become the owner. Confined to the event loop thread.
 */
final class PlainServiceCrashes {

	/** Most answers that are remembered. */
	private static final int MAX_ANSWERS = 2000;

	private final Hosts hosts;

	private final CrashAttribution attribution;

	private final CrashEvidenceExchange evidence;

	/** Time of the latest answer to a request, by identity, the oldest first. */
	private final Map<String, Long> answeredAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_ANSWERS;
		}
	};

	private long attemptCount;

	/** Attempts of other hosts as of their latest heartbeats, by host. */
	private final Map<String, Long> attemptCounts = new HashMap<>();

	PlainServiceCrashes(NioReactor reactor, DecisionLog log, PromptQuarantine quarantine, Hosts hosts) {
		this.hosts = hosts;
		this.attribution = new CrashAttribution(quarantine);
		this.evidence = new CrashEvidenceExchange(reactor, log, true, this.attribution, quarantine, this::sendEvidence);
	}

	/**
	 * Records that an attempt is sent.
	 * @param attempt id of the attempt
	 * @param endpoint the endpoint
	 * @param identity identity of the request
	 * @param now monotonic time in milliseconds
	 */
	void onSent(String attempt, EndpointEntry endpoint, String identity, long now) {
		this.attemptCount++;
		this.attribution.onDispatched(attempt, endpoint.service(), endpoint.start(), List.of(identity), now);
	}

	/**
	 * Records the end of an attempt.
	 * @param attempt id of the attempt
	 * @param identity identity of the request
	 * @param result result of the attempt
	 * @param crashed true if the endpoint closed the connection before the answer was
	 * complete, although it was not leaving
	 * @param now monotonic time in milliseconds
	 */
	void onEnded(String attempt, String identity, AttemptResult result, boolean crashed, long now) {
		if (result == AttemptResult.ANSWERED) {
			this.answeredAt.remove(identity);
			this.answeredAt.put(identity, now);
		}
		this.attribution.onEnded(attempt, result, crashed, 0, now);
		this.evidence.onAttemptEnded(attempt);
	}

	private void sendEvidence() {
		long now = Clocks.monotonicMillis();
		if (!this.hosts.ownsPools()) {
			this.evidence.takeNew(now).ifPresent(this.hosts::sendToOwner);
			return;
		}
		this.attribution.judgeAnew();
		this.attribution.judge(now);
		this.evidence.takeNew(now).ifPresent(this.hosts::sendToAll);
		if (this.attribution.unsettled(now)) {
			this.evidence.scheduleSend();
		}
	}

	/**
	 * Applies the evidence of another host, and reports what answers to this host refute.
	 * @param received the evidence
	 * @param now monotonic time in milliseconds
	 */
	void receive(CrashEvidence received, long now) {
		boolean owner = this.hosts.ownsPools();
		this.evidence.receive(received, owner, now);
		received.suspects()
			.stream()
			.flatMap((suspect) -> suspect.segments().stream())
			.filter(this.answeredAt::containsKey)
			.forEach((identity) -> this.attribution
				.clear(new CrashAttribution.Answer(Set.of(identity), this.answeredAt.get(identity))));
		this.evidence.collect();
		if (owner) {
			this.evidence.scheduleSend();
		}
	}

	/** Hands all evidence to a new owner, which may be this host. */
	void onOwnerChanged() {
		if (this.hosts.ownsPools()) {
			this.evidence.scheduleSend();
		}
		else {
			this.evidence.createComplete(Clocks.monotonicMillis()).ifPresent(this.hosts::sendToOwner);
		}
	}

	/**
	 * Hands all evidence to hosts that have joined, if this host owns the pools.
	 * @param live ids of the live hosts
	 * @param lost ids of hosts that are dead, leaving or restarted
	 */
	void onViewChanged(List<String> live, List<String> lost) {
		if (this.hosts.ownsPools()) {
			this.evidence.sendToJoined(live, lost, this.hosts::send, Clocks.monotonicMillis());
		}
	}

	/**
	 * Records the number of attempts of another host.
	 * @param host id of the host
	 * @param total number of attempts since its start
	 */
	void onAttemptCount(String host, long total) {
		Long before = this.attemptCounts.put(host, total);
		if (before != null && total > before) {
			this.attribution.countAttempts(total - before);
		}
	}

	long attemptCount() {
		return this.attemptCount;
	}

	/**
	 * The other hosts of the cluster. Confined to the event loop thread.
	 */
	interface Hosts {

		boolean ownsPools();

		void sendToOwner(Message message);

		void sendToAll(Message message);

		void send(String host, Message message);

	}

}
