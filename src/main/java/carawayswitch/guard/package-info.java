/**
 * At-most-once dispatch of requests with an idempotency key: slots, leases and grants.
 */
package carawayswitch.guard;
