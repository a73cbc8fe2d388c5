/**
 * Adapter to the platform: clients of its log, host list and store, and decoders of its
 * settings file, configuration and headers.
 */
package carawayswitch.platform;
