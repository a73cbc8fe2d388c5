/**
 * HTTP/1.1 transport: client calls to the platform and to endpoints, and connections
 * accepted from clients.
 */
package carawayswitch.http;
