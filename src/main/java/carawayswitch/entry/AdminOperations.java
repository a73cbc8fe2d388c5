package carawayswitch.entry;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

import carawayswitch.config.ChangeVerdict;
import carawayswitch.message.AuditEntry;
import carawayswitch.message.ConfigurationChange;

/**
 * What operators can ask of a host. Safe for use by several threads; results come on any
 * thread.
 */
public interface AdminOperations {

	/**
	 * Publishes a change.
	 * @param change the change
	 * @param onVerdict receives the verdict, or nothing if the log did not confirm in
	 * time
	 */
	void publish(ConfigurationChange change, Consumer<Option<ChangeVerdict>> onVerdict);

	/**
	 * Reads the audit trail.
	 * @param fromOffset first offset of the log that is wanted
	 * @param onEntries receives the entries, or nothing if the log cannot be read
	 */
	void readAudit(long fromOffset, Consumer<Option<List<AuditEntry>>> onEntries);

	/**
	 * Describes the state of the host.
	 * @param onStatus receives the description
	 */
	void status(Consumer<JsonNode> onStatus);

	/**
	 * Returns whether the host takes new requests.
	 * @return true if the host is ready
	 */
	boolean ready();

	/**
	 * Adds an event to the audit trail.
	 * @param entry the event
	 */
	void addAudit(AuditEntry entry);

}
