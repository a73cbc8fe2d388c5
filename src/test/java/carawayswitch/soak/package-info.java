/**
 * Fault soak: gateways as processes of their own, under faults from outside, while
 * clients and stand-ins check what was promised to them.
 */
package carawayswitch.soak;
