package carawayswitch.gateway;

import io.activej.promise.Promise;

import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;

/**
 * What the platform stores about rollouts. All records are keyed by service. Confined to
 * the thread of its event loop.
 */
public interface RolloutStore {

	/**
	 * Returns the orders of the operators.
	 * @return the source
	 */
	RecordSource<RolloutOrder> orders();

	/**
	 * Returns the progress of the latest rollout of each service.
	 * @return the source
	 */
	RecordSource<RolloutProgress> progress();

	/**
	 * Stores progress.
	 * @param progress the progress
	 * @param expectedOffset offset at which the records must end, so that a host does not
	 * decide on progress that it has not read
	 * @return completes when the progress is stored; after a failure it may or may not be
	 * stored, also later
	 */
	Promise<Void> publishProgress(RolloutProgress progress, long expectedOffset);

	/**
	 * Returns the states that are reported to the operators.
	 * @return the source
	 */
	RecordSource<RolloutStatus> statuses();

	/**
	 * Reports a state to the operators.
	 * @param service name of the service
	 * @param status the state
	 * @return completes when the state is stored; after a failure it may or may not be
	 * stored, also later
	 */
	Promise<Void> publishStatus(String service, RolloutStatus status);

}
