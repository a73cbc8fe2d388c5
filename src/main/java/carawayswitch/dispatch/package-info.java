/**
 * Forwards requests from entry hosts to the owners of endpoints and dispatches them to
 * the endpoints.
 */
package carawayswitch.dispatch;
