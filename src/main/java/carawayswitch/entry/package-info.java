/**
 * HTTP API for callers and operators.
 */
package carawayswitch.entry;
