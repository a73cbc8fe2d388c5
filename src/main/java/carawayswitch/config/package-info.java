/**
 * Configuration of both fleets: entities, qualified names and the fold over the log.
 */
package carawayswitch.config;
