/**
 * HTTP towards callers and operators.
 */
package carawayswitch.entry;
