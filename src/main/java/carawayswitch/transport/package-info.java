/**
 * Authenticated TCP connections between hosts that carry length-prefixed messages.
 */
package carawayswitch.transport;
