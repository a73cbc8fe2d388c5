/**
 * The gateway role: an entry host in front of endpoints that keeps its durable state in a
 * platform. Only {@link carawayswitch.platform} depends on the platform's wire format.
 */
package carawayswitch.gateway;
