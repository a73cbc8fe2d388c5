/**
 * How requests end: outcomes, error kinds and the proof that a request was not run.
 */
package carawayswitch.outcome;
