/**
 * Adapters to engines and plain services.
 */
package carawayswitch.endpoint;
