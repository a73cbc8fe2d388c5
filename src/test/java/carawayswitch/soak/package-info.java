/**
 * Soak test with fault injection: gateways run as separate processes under network, store
 * and process faults, while clients and endpoints record requests and executions to check
 * the guarantees of the gateway.
 */
package carawayswitch.soak;
