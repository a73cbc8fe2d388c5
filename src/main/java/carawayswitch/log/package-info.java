/**
 * Structured logging: one line of key=value pairs for each event.
 */
package carawayswitch.log;
