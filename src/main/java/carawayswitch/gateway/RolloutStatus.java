package carawayswitch.gateway;

import carawayswitch.rollout.RolloutState;

/**
 * State of a rollout as it is reported to the operator. Immutable.
 *
 * @param state the state
 * @param target target version
 */
public record RolloutStatus(RolloutState state, String target) {

}
