/**
 * Carries requests from entry hosts to the owners of endpoints and on to the endpoints.
 */
package carawayswitch.dispatch;
