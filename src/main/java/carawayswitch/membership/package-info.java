/**
 * Live and leaving hosts, from heartbeats, the platform's list and direct evidence.
 */
package carawayswitch.membership;
