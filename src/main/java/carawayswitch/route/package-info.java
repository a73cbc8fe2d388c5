/**
 * What a host believes of routes, organisations and endpoints. Decides nothing about
 * load. Nothing here does I/O or reads a clock.
 */
package carawayswitch.route;
