/**
 * Outcomes of requests: error kinds, and the proof that a request was not run.
 */
package carawayswitch.outcome;
