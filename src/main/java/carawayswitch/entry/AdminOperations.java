package carawayswitch.entry;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

import carawayswitch.config.ChangeVerdict;
import carawayswitch.message.AuditEntry;
import carawayswitch.message.ConfigurationChange;

/**
 * Administrative operations of a host. Safe for use by several threads; callbacks may run
 * on any thread.
 */
public interface AdminOperations {

	/**
	 * Publishes a change of the configuration.
	 * @param change the change
	 * @param onVerdict receives the verdict, or an empty option if the log did not
	 * confirm the change in time
	 */
	void publish(ConfigurationChange change, Consumer<Option<ChangeVerdict>> onVerdict);

	/**
	 * Reads the audit trail.
	 * @param fromOffset log offset to start from
	 * @param onEntries receives the entries, or an empty option if the log cannot be read
	 */
	void readAudit(long fromOffset, Consumer<Option<List<AuditEntry>>> onEntries);

	/**
	 * Reports the state of the host.
	 * @param onStatus receives the state as JSON
	 */
	void status(Consumer<JsonNode> onStatus);

	/**
	 * Returns whether the host accepts new requests.
	 * @return true if the host is ready
	 */
	boolean ready();

	/**
	 * Adds an entry to the audit trail.
	 * @param entry the entry
	 */
	void addAudit(AuditEntry entry);

}
