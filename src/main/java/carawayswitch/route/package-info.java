/**
 * Cached routes, organisations and endpoints of a host. Load balancing is decided
 * elsewhere. Nothing here does I/O or reads a clock.
 */
package carawayswitch.route;
