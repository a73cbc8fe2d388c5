package carawayswitch.host;

import java.util.function.Consumer;

import io.activej.reactor.Reactor;
import io.vavr.control.Option;

import carawayswitch.config.ChangeVerdict;
import carawayswitch.config.ConfigurationHolder;
import carawayswitch.message.ConfigurationChange;
import carawayswitch.message.MessageCodec;
import carawayswitch.platform.LogService;

/**
 * Publishes configuration changes. Reports a verdict only after the change was read back
 * from the log. If a reply of the log is lost, the change is appended again under the
 * same change id; applying the log ignores the duplicate. Confined to the control thread.
 */
final class ConfigurationPublisher {

	private static final long VERDICT_CHECK_INTERVAL_MILLIS = 10;

	private final Reactor reactor;

	private final ConfigurationHolder holder;

	private final LogService log;

	private final Runnable pollLog;

	private final long timeoutMillis;

	ConfigurationPublisher(Reactor reactor, ConfigurationHolder holder, LogService log, Runnable pollLog,
			long timeoutMillis) {
		this.reactor = reactor;
		this.holder = holder;
		this.log = log;
		this.pollLog = pollLog;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Appends a change to the log and awaits its verdict.
	 * @param change the change
	 * @param onVerdict receives the verdict, or an empty option if the change was not
	 * read back before the timeout
	 */
	void publish(ConfigurationChange change, Consumer<Option<ChangeVerdict>> onVerdict) {
		long deadline = this.reactor.currentTimeMillis() + this.timeoutMillis;
		append(change, deadline);
		awaitVerdict(change.changeId(), deadline, onVerdict);
	}

	private void append(ConfigurationChange change, long deadline) {
		this.log.append(LogService.CONFIGURATION_STREAM, MessageCodec.encode(change)).subscribe((offset, failure) -> {
			boolean retry = failure != null && this.reactor.currentTimeMillis() < deadline
					&& this.holder.state().verdict(change.changeId()).isEmpty();
			if (retry) {
				this.reactor.delayBackground(VERDICT_CHECK_INTERVAL_MILLIS * 10, () -> append(change, deadline));
			}
			this.pollLog.run();
		});
	}

	private void awaitVerdict(String changeId, long deadline, Consumer<Option<ChangeVerdict>> onVerdict) {
		Option<ChangeVerdict> verdict = this.holder.state().verdict(changeId);
		if (verdict.isDefined() || this.reactor.currentTimeMillis() >= deadline) {
			onVerdict.accept(verdict);
			return;
		}
		this.reactor.delayBackground(VERDICT_CHECK_INTERVAL_MILLIS, () -> awaitVerdict(changeId, deadline, onVerdict));
	}

}
