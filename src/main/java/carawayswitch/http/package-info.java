/**
 * Calls over HTTP to the platform and to endpoints.
 */
package carawayswitch.http;
