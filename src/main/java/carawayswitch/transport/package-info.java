/**
 * Framed TCP connections between hosts.
 */
package carawayswitch.transport;
