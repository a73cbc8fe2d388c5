/**
 * HTTP client adapters for engines and plain services.
 */
package carawayswitch.endpoint;
