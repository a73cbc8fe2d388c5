package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.CrashEvidence;
import carawayswitch.message.CrashSuspect;
import carawayswitch.message.ProvingAnswer;
import carawayswitch.message.QuarantineState;
import carawayswitch.schedule.CrashAttribution;
import carawayswitch.schedule.PromptQuarantine;
import carawayswitch.schedule.QuarantineRule;

/**
 * Shares evidence against requests with other hosts, so that a change of the owner does
 * not start the collection anew. New evidence is collected for a moment and then sent in
 * one message. Times are monotonic milliseconds in this host and ages in messages.
 * Confined to the event loop thread.
 */
final class CrashEvidenceExchange {

	/** Delay in milliseconds that collects the evidence of one crash in one message. */
	private static final long SEND_DELAY_MILLIS = 100;

	/** Most suspects in one message; the oldest are left out. */
	private static final int MAX_SENT_SUSPECTS = 100;

	private final NioReactor reactor;

	private final DecisionLog log;

	private final boolean plain;

	private final Runnable onDue;

	private final CrashAttribution attribution;

	private final PromptQuarantine quarantine;

	private final List<CrashAttribution.Suspect> unsentSuspects = new ArrayList<>();

	private final List<CrashAttribution.Answer> unsentAnswers = new ArrayList<>();

	/** Names of the rules that were sent. */
	private Set<String> sentRules = Set.of();

	/** Hosts to which new evidence is sent. */
	private Set<String> recipients = Set.of();

	private boolean sendScheduled;

	/**
	 * Creates an exchange without evidence.
	 * @param reactor the event loop
	 * @param log the log
	 * @param plain true if the evidence is about endpoints of plain services
	 * @param attribution the evidence of this host
	 * @param quarantine quarantine rules of this host
	 * @param onDue called when {@link #takeNew} is to be sent
	 */
	CrashEvidenceExchange(NioReactor reactor, DecisionLog log, boolean plain, CrashAttribution attribution,
			PromptQuarantine quarantine, Runnable onDue) {
		this.reactor = reactor;
		this.log = log;
		this.plain = plain;
		this.onDue = onDue;
		this.attribution = attribution;
		this.quarantine = quarantine;
	}

	/**
	 * Collects the evidence that the end of an attempt has added.
	 * @param request id of the attempt
	 */
	void onAttemptEnded(String request) {
		if (collect()) {
			this.log.write(LogEvent.CRASH_SUSPECTED, "request", request, "plain", this.plain, "suspects",
					this.attribution.suspects().size());
		}
	}

	/**
	 * Collects the evidence that was added since the last call.
	 * @return true if there are new suspects
	 */
	boolean collect() {
		List<CrashAttribution.Suspect> suspects = this.attribution.takeNewSuspects();
		List<CrashAttribution.Answer> answers = this.attribution.takeNewAnswers();
		this.unsentSuspects.addAll(suspects);
		this.unsentAnswers.addAll(answers);
		if (!suspects.isEmpty() || !answers.isEmpty()) {
			scheduleSend();
		}
		return !suspects.isEmpty();
	}

	void scheduleSend() {
		if (!this.sendScheduled) {
			this.sendScheduled = true;
			this.reactor.delayBackground(SEND_DELAY_MILLIS, () -> {
				this.sendScheduled = false;
				this.onDue.run();
			});
		}
	}

	/**
	 * Returns the evidence and the rules that were added since the last call.
	 * @param now monotonic time in milliseconds
	 * @return the message, or nothing if there is no evidence
	 */
	Optional<CrashEvidence> takeNew(long now) {
		List<QuarantineRule> newRules = this.quarantine.rules()
			.stream()
			.filter((rule) -> !this.sentRules.contains(rule.name()))
			.toList();
		this.sentRules = this.quarantine.rules().stream().map(QuarantineRule::name).collect(Collectors.toSet());
		Optional<CrashEvidence> evidence = create(this.unsentSuspects, this.unsentAnswers, newRules, now);
		this.unsentSuspects.clear();
		this.unsentAnswers.clear();
		return evidence;
	}

	/**
	 * Sends all evidence to the hosts that have joined or restarted since the last call.
	 * They have missed what was sent before.
	 * @param hosts ids of the hosts to which new evidence is sent
	 * @param lost ids of hosts that are dead, leaving or restarted
	 * @param send sends a message to a host
	 * @param now monotonic time in milliseconds
	 */
	void sendToJoined(Collection<String> hosts, Collection<String> lost, BiConsumer<String, CrashEvidence> send,
			long now) {
		List<String> joined = hosts.stream()
			.filter((host) -> !this.recipients.contains(host) || lost.contains(host))
			.toList();
		this.recipients = Set.copyOf(hosts);
		if (!joined.isEmpty()) {
			createComplete(now).ifPresent((evidence) -> joined.forEach((host) -> send.accept(host, evidence)));
		}
	}

	/**
	 * Returns all evidence.
	 * @param now monotonic time in milliseconds
	 * @return the message, or nothing if there is no evidence
	 */
	Optional<CrashEvidence> createComplete(long now) {
		return create(this.attribution.suspects(), List.of(), this.quarantine.rules(), now);
	}

	private Optional<CrashEvidence> create(List<CrashAttribution.Suspect> suspects,
			Collection<CrashAttribution.Answer> answers, Collection<QuarantineRule> rules, long now) {
		List<CrashSuspect> sentSuspects = suspects.stream()
			.skip(Math.max(0, suspects.size() - MAX_SENT_SUSPECTS))
			.map((suspect) -> new CrashSuspect(suspect.service(), suspect.engine(), now - suspect.dispatchedAt(),
					now - suspect.lostAt(), List.copyOf(suspect.segments())))
			.toList();
		List<ProvingAnswer> sentAnswers = answers.stream()
			.map((answer) -> new ProvingAnswer(List.copyOf(answer.segments()), now - answer.beganAt()))
			.toList();
		List<QuarantineState> sentStates = rules.stream()
			.map((rule) -> new QuarantineState(rule.segments(), rule.expiresAt() - now, rule.durationMillis()))
			.toList();
		boolean empty = sentSuspects.isEmpty() && sentAnswers.isEmpty() && sentStates.isEmpty();
		return empty ? Optional.empty()
				: Optional.of(new CrashEvidence(sentSuspects, sentStates, this.plain, sentAnswers));
	}

	/**
	 * Applies the evidence of another host.
	 * @param evidence the evidence
	 * @param passOn true to send what is new to this host to others
	 * @param now monotonic time in milliseconds
	 */
	void receive(CrashEvidence evidence, boolean passOn, long now) {
		collect();
		evidence.rules()
			.forEach((rule) -> this.quarantine
				.add(new QuarantineRule(rule.segments(), now + rule.remainingMillis(), rule.durationMillis()), now));
		this.attribution.merge(evidence.suspects()
			.stream()
			.map((suspect) -> new CrashAttribution.Suspect(suspect.service(), suspect.engine(),
					new HashSet<>(suspect.segments()), now - suspect.dispatchedAgoMillis(),
					now - suspect.lostAgoMillis()))
			.toList());
		evidence.answers()
			.forEach((answer) -> this.attribution
				.clear(new CrashAttribution.Answer(Set.copyOf(answer.segments()), now - answer.begunAgoMillis())));
		if (passOn) {
			collect();
		}
		else {
			this.attribution.takeNewSuspects();
			this.attribution.takeNewAnswers();
		}
	}

}
