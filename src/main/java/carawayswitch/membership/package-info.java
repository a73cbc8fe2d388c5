/**
 * Membership of live and leaving hosts, derived from heartbeats, the platform's host list
 * and failed connections.
 */
package carawayswitch.membership;
