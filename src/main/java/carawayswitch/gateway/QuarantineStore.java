package carawayswitch.gateway;

import io.activej.promise.Promise;

/**
 * Quarantine rules of all hosts, stored by the platform so that they outlive the hosts.
 * Confined to the thread of its event loop.
 */
public interface QuarantineStore {

	/**
	 * Stores a rule.
	 * @param record the rule
	 * @return completes when the rule is stored; after a failure it may or may not be
	 * stored
	 */
	Promise<Void> publishRule(QuarantineRecord record);

	/**
	 * Removes a rule.
	 * @param name name of the rule
	 * @return completes when the rule is removed; after a failure it may or may not be
	 * removed
	 */
	Promise<Void> removeRule(String name);

	/**
	 * Returns the rules, keyed by their names.
	 * @return the source
	 */
	RecordSource<QuarantineRecord> rules();

}
