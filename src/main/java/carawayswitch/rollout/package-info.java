/**
 * Decisions of the rollout of a new service version; no I/O.
 */
package carawayswitch.rollout;
