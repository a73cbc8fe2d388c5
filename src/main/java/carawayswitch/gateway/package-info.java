/**
 * The gateway role: an entry host in front of endpoints, with its state kept by a
 * platform. What the platform's wire looks like is known to
 * {@link carawayswitch.platform} only.
 */
package carawayswitch.gateway;
