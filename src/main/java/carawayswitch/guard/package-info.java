/**
 * At-most-once dispatch of requests with an idempotency key, based on slots, leases and
 * grants.
 */
package carawayswitch.guard;
