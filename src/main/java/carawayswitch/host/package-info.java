/**
 * The daemon: puts the parts of a host together and runs its periodic tasks.
 */
package carawayswitch.host;
