/**
 * The platform's services: the log, the host list and the weight store.
 */
package carawayswitch.platform;
